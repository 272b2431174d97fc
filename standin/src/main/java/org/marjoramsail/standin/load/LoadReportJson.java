package org.marjoramsail.standin.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes a report for programs; what ran by reference is left out, since it grows with the run. */
public final class LoadReportJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private LoadReportJson() {}

  /** The report as a JSON object. */
  public static String of(LoadReport report) {
    ObjectNode tree = MAPPER.valueToTree(report);
    ObjectNode audit = tree.withObject("/audit");
    audit.remove("runsByReference");
    audit.remove("requestsRun");
    audit.put("wastedPrefillShare", report.audit().wastedPrefillShare());
    try {
      return MAPPER.writeValueAsString(tree);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException("A tree of numbers and texts has a JSON form.", failure);
    }
  }
}
