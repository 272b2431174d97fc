package org.marjoramsail.command.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramsail.standin.load.LoadReportJson;

/** Writes the report of a soak for programs. */
public final class SoakReportJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private SoakReportJson() {}

  /** The report as a JSON object. */
  public static String of(SoakReport report) {
    try {
      ObjectNode tree = MAPPER.valueToTree(report);
      tree.set("load", MAPPER.readTree(LoadReportJson.of(report.load())));
      tree.put("clean", report.isClean());
      return MAPPER.writeValueAsString(tree);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException("A tree of numbers and texts has a JSON form.", failure);
    }
  }
}
