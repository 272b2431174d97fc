package org.marjoramsail.command.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.RecordComponent;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.configuration.check.EntryKey;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.FindingKind;
import org.marjoramsail.core.configuration.check.StopCheck;
import org.marjoramsail.daemon.settings.ForwardingSettings;
import org.marjoramsail.daemon.settings.LimitSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.SettingsException;
import org.marjoramsail.daemon.settings.SettingsProblem;
import org.marjoramsail.daemon.settings.SettingsReader;
import org.marjoramsail.platform.assembly.StopTimes;

/** Checks the settings of a daemon as the daemon does when it starts, and its stop times. */
final class SettingsFindings {

  private static final String KIND = "settings";

  private SettingsFindings() {}

  static List<Finding> of(ConfigurationDocument document, Path directory) {
    JsonNode content = document.content();
    String text = content.toString();
    EntryKey entry = new EntryKey(KIND, content.at("/host/name").asText(EntryKey.ALL));
    List<Finding> findings = new ArrayList<>();
    document
        .duplicateField()
        .ifPresent(
            field ->
                findings.add(
                    new Finding(
                        FindingKind.INVALID, entry, "", field, "each field of an object once")));
    try {
      Settings settings = new SettingsReader().read(document.source(), text, directory);
      settings
          .forwarding()
          .ifPresent(
              forwarding -> {
                addReplaced(entry, content.path("forwarding"), forwarding, findings);
                findings.addAll(StopCheck.findingsOf(entry, times(content, settings)));
              });
    } catch (SettingsException failure) {
      failure.problems().forEach(problem -> findings.add(finding(entry, problem)));
    }
    return findings.stream().sorted().toList();
  }

  private static StopCheck.Times times(JsonNode content, Settings settings) {
    LimitSettings limits = settings.limits();
    ForwardingSettings forwarding = settings.forwarding().orElseThrow();
    return new StopCheck.Times(
        limits.leaveMillis(),
        limits.stopMillis(),
        content.at("/limits/stopMillis").isNumber(),
        Math.round(forwarding.drainMillis()),
        forwarding.graceMillis(),
        StopTimes.allowedMillis(settings));
  }

  /** Adds a finding for each number that is not used as stated. */
  private static void addReplaced(
      EntryKey entry, JsonNode stated, ForwardingSettings used, List<Finding> findings) {
    for (RecordComponent component : ForwardingSettings.class.getRecordComponents()) {
      JsonNode value = stated.path(component.getName());
      if (component.getType() == double.class && value.isNumber()) {
        double usedValue = number(component, used);
        if (usedValue != value.doubleValue()) {
          findings.add(
              new Finding(
                  FindingKind.TOLERATED,
                  entry,
                  "/forwarding/" + component.getName(),
                  value.toString(),
                  "the range that ends with " + usedValue + ", which is used"));
        }
      }
    }
  }

  private static double number(RecordComponent component, ForwardingSettings settings) {
    try {
      return (double) component.getAccessor().invoke(settings);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("Cannot read " + component, failure);
    }
  }

  private static Finding finding(EntryKey entry, SettingsProblem problem) {
    return new Finding(
        FindingKind.INVALID,
        entry,
        problem.path(),
        problem.value(),
        problem.allowed(),
        problem.nearest());
  }
}
