package org.marjoramsail.core.configuration.check;

import java.util.Comparator;

/**
 * Identifies one entry of a configuration in any format.
 *
 * @param kind the kind of the entry in lower case, such as {@code route}
 * @param name its name; {@link #ALL} if a finding concerns all entries of the kind
 */
public record EntryKey(String kind, String name) implements Comparable<EntryKey> {

  /** Name that stands for all entries of a kind. */
  public static final String ALL = "*";

  private static final Comparator<EntryKey> ORDER =
      Comparator.comparing(EntryKey::kind).thenComparing(EntryKey::name);

  @Override
  public int compareTo(EntryKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
