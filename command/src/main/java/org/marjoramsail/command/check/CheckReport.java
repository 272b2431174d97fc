package org.marjoramsail.command.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.check.EntryDifference;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.Severity;

/**
 * The result of a check.
 *
 * @param source the file that was checked
 * @param format the format of the file
 * @param findings all findings in their order
 * @param against the file or URL that it was compared with, if any
 * @param differences what differs from that, ordered by kind and name
 */
public record CheckReport(
    String source,
    String format,
    List<Finding> findings,
    Optional<String> against,
    List<EntryDifference> differences) {

  /** Copies the lists to make the record immutable. */
  public CheckReport {
    findings = List.copyOf(findings);
    differences = List.copyOf(differences);
  }

  /**
   * Checks a file.
   *
   * @param against a file or URL to compare it with
   * @throws UnreadableConfigurationException if one of them cannot be read, or they have no common
   *     format that can be compared
   */
  public static CheckReport of(String file, Optional<String> against, ConfigurationBytes reader)
      throws UnreadableConfigurationException {
    ConfigurationDocument document = document(file, reader);
    ConfigurationForm form = form(document);
    List<Finding> findings = new ArrayList<>(form.findings(document));
    if (against.isEmpty()) {
      return new CheckReport(file, form.code(), findings, against, List.of());
    }
    ConfigurationDocument inForce = document(against.get(), reader);
    ConfigurationForm inForceForm = form(inForce);
    if (inForceForm != form || !form.isComparable()) {
      throw new UnreadableConfigurationException(
          against.get(),
          "its format is %s and cannot be compared with %s, whose format is %s"
              .formatted(inForceForm.code(), file, form.code()));
    }
    List<EntryDifference> differences = form.differences(inForce, document);
    form.outdated(inForce, document, !differences.isEmpty()).ifPresent(findings::add);
    return new CheckReport(
        file, form.code(), findings.stream().sorted().toList(), against, differences);
  }

  /** Returns the number of findings of a severity. */
  public long count(Severity severity) {
    return findings.stream().filter(finding -> finding.severity() == severity).count();
  }

  private static ConfigurationDocument document(String source, ConfigurationBytes reader)
      throws UnreadableConfigurationException {
    return ConfigurationDocument.parse(source, reader.read(source)).unwrapped();
  }

  private static ConfigurationForm form(ConfigurationDocument document)
      throws UnreadableConfigurationException {
    return ConfigurationForm.of(document.content())
        .orElseThrow(
            () ->
                new UnreadableConfigurationException(
                    document.source(),
                    "it has no field of a configuration such as routes, services, upstreams or"
                        + " listen"));
  }
}
