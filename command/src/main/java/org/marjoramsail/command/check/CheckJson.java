package org.marjoramsail.command.check;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramsail.core.configuration.ConfigurationDifference.FieldDifference;
import org.marjoramsail.core.configuration.check.EntryDifference;
import org.marjoramsail.core.configuration.check.EntryKey;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.Severity;

/** Prints a report as one JSON object for programs. */
public final class CheckJson {

  private static final String RESULT = "result";

  private CheckJson() {}

  /**
   * Returns the JSON text of a report.
   *
   * @param result the result in lower case
   */
  public static String text(CheckReport report, String result) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("file", report.source()).put("format", report.format()).put(RESULT, result);
    root.put("errors", report.count(Severity.ERROR));
    root.put("warnings", report.count(Severity.WARNING));
    ArrayNode findings = root.putArray("findings");
    report.findings().forEach(finding -> add(findings.addObject(), finding));
    report
        .against()
        .ifPresent(
            against -> {
              root.put("against", against);
              ArrayNode differences = root.putArray("differences");
              report.differences().forEach(difference -> add(differences.addObject(), difference));
            });
    return root.toString();
  }

  /** Returns the JSON text for a configuration that cannot be read. */
  public static String unreadable(UnreadableConfigurationException failure, String result) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(RESULT, result)
        .put("reason", failure.getMessage())
        .toString();
  }

  private static void add(ObjectNode node, Finding finding) {
    node.put("severity", finding.severity().code()).put("kind", finding.kind().code());
    addEntry(node, finding.entry());
    node.put("field", finding.field()).put("value", finding.value());
    node.put("allowed", finding.allowed());
    finding.nearest().ifPresent(nearest -> node.put("nearest", nearest));
    node.put("message", finding.message());
  }

  private static void add(ObjectNode node, EntryDifference difference) {
    node.put("change", difference.change().code());
    addEntry(node, difference.entry());
    ArrayNode fields = node.putArray("fields");
    for (FieldDifference field : difference.fields()) {
      fields
          .addObject()
          .put("field", field.field())
          .put("before", field.before())
          .put("after", field.after());
    }
  }

  private static void addEntry(ObjectNode node, EntryKey entry) {
    node.putObject("entry").put("kind", entry.kind()).put("name", entry.name());
  }
}
