package org.marjoramsail.core.discovery;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Puts the pieces of one response together. Not safe for several threads. */
public final class ListingAssembly {

  /** Maximum number of pieces of a section; bounds the memory that a response may take. */
  private static final int MAXIMUM_PARTS = 64;

  private final Set<ListingSection> expected;
  private final Map<ListingSection, Map<Integer, String>> pieces =
      new EnumMap<>(ListingSection.class);
  private final Map<ListingSection, Integer> counts = new EnumMap<>(ListingSection.class);

  /** Creates an instance for a response with these sections. */
  public ListingAssembly(Set<ListingSection> expected) {
    this.expected = EnumSet.copyOf(expected);
  }

  /**
   * Adds a piece.
   *
   * @return whether it fits the others; if not, the response cannot be used
   */
  public boolean add(ListingPart part) {
    boolean isValid =
        expected.contains(part.section())
            && part.count() > 0
            && part.count() <= MAXIMUM_PARTS
            && part.index() >= 0
            && part.index() < part.count()
            && part.text().length() <= ListingPart.MAXIMUM_CHARS
            && counts.getOrDefault(part.section(), part.count()) == part.count();
    if (!isValid) {
      return false;
    }
    counts.put(part.section(), part.count());
    pieces.computeIfAbsent(part.section(), key -> new TreeMap<>()).put(part.index(), part.text());
    return true;
  }

  /** Returns whether all pieces are there. */
  public boolean isComplete() {
    return expected.stream()
        .allMatch(section -> pieces(section).size() == counts.getOrDefault(section, -1));
  }

  /** Returns the packed content of a section; empty if it was not requested. */
  public Optional<String> packed(ListingSection section) {
    return expected.contains(section)
        ? Optional.of(String.join("", pieces(section).values()))
        : Optional.empty();
  }

  private Map<Integer, String> pieces(ListingSection section) {
    return pieces.getOrDefault(section, Map.of());
  }
}
