package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Combines findings of one unknown field in many entries, since a program that writes a field that
 * daemons do not read writes it in each of thousands of routes.
 */
public final class UnknownFields {

  private UnknownFields() {}

  /** Returns the findings with one finding in place of those of one field and kind of entry. */
  public static List<Finding> combined(List<Finding> findings) {
    List<Finding> combined = new ArrayList<>();
    SortedMap<EntryKey, SortedSet<Finding>> byField = new TreeMap<>();
    for (Finding finding : findings) {
      if (finding.kind() == FindingKind.UNKNOWN_FIELD) {
        EntryKey key = new EntryKey(finding.entry().kind(), finding.field());
        byField.computeIfAbsent(key, field -> new TreeSet<>()).add(finding);
      } else {
        combined.add(finding);
      }
    }
    byField.values().forEach(same -> combined.add(combine(same)));
    return combined;
  }

  private static Finding combine(SortedSet<Finding> same) {
    Finding first = same.first();
    if (same.size() == 1) {
      return first;
    }
    String allowed =
        first.allowed() + " (" + same.size() + " entries, the first is " + first.entry() + ")";
    return new Finding(
        first.kind(),
        new EntryKey(first.entry().kind(), EntryKey.ALL),
        first.field(),
        first.value(),
        allowed,
        first.nearest());
  }
}
