package org.marjoramsail.core.configuration.check;

import java.util.Comparator;
import java.util.Optional;

/**
 * One result of the checks of a configuration.
 *
 * @param kind the kind of finding, which determines its severity
 * @param entry the entry that it concerns
 * @param field the field of the entry; empty if it concerns the entry as a whole
 * @param value the stated value
 * @param allowed description of the values without such a finding
 * @param nearest the valid name that is most similar to the value, if any
 */
public record Finding(
    FindingKind kind,
    EntryKey entry,
    String field,
    String value,
    String allowed,
    Optional<String> nearest)
    implements Comparable<Finding> {

  /** The order in which findings are reported; it does not depend on the order of entries. */
  private static final Comparator<Finding> ORDER =
      Comparator.comparing(Finding::severity)
          .thenComparing(Finding::entry)
          .thenComparing(Finding::field)
          .thenComparing(Finding::kind)
          .thenComparing(Finding::value)
          .thenComparing(Finding::allowed)
          .thenComparing(finding -> finding.nearest().orElse(""));

  /** Creates a finding without a similar name. */
  public Finding(FindingKind kind, EntryKey entry, String field, String value, String allowed) {
    this(kind, entry, field, value, allowed, Optional.empty());
  }

  /** Returns the severity. */
  public Severity severity() {
    return kind.severity();
  }

  /** Returns a copy with this name of the field. */
  public Finding withField(String newField) {
    return new Finding(kind, entry, newField, value, allowed, nearest);
  }

  /** Returns one line for operators, without the severity. */
  public String message() {
    String place = field.isEmpty() ? entry.toString() : entry + ", " + field;
    String suggestion = nearest.map(name -> " Did you mean \"" + name + "\"?").orElse("");
    return "%s: \"%s\" %s; allowed: %s.%s"
        .formatted(place, value, kind.phrase(), allowed, suggestion);
  }

  @Override
  public int compareTo(Finding other) {
    return ORDER.compare(this, other);
  }
}
