package org.marjoramsail.core.outcome;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramsail.core.model.SoftwareVersion;

/** A crash of an upstream, with the prompt parts that may have caused it. */
final class PartCrash {

  private final Optional<SoftwareVersion> version;
  private final Map<Long, Map<PartKey, SharedPromptPart>> suspects = new LinkedHashMap<>();
  private final Set<PartKey> lifted = new HashSet<>();
  private long expiresAtMillis;
  private boolean reportedHere;

  PartCrash(Optional<SoftwareVersion> version) {
    this.version = version;
  }

  /**
   * Adds suspects that a daemon reported, except parts that are cleared or lifted.
   *
   * @param maximumParts maximum number of suspects of a crash; further ones are ignored
   */
  void add(Collection<PartSuspects> added, Predicate<PartKey> isCleared, int maximumParts) {
    int room = maximumParts - suspects.values().stream().mapToInt(Map::size).sum();
    for (PartSuspects one : added) {
      for (SharedPromptPart part : one.parts()) {
        PartKey key = key(part);
        if (room > 0 && !lifted.contains(key) && !isCleared.test(key)) {
          suspects.computeIfAbsent(one.content(), unused -> new LinkedHashMap<>()).put(key, part);
          room--;
        }
      }
    }
  }

  /** Removes a part that gave output on the version. */
  void clear(PartKey part) {
    suspects.values().forEach(parts -> parts.remove(part));
    suspects.values().removeIf(Map::isEmpty);
  }

  /** Removes a part, and keeps it from becoming a suspect of this crash again. */
  void lift(PartKey part) {
    lifted.add(part);
    clear(part);
  }

  /** Records that this daemon reported the crash, so that it forwards clearances. */
  void reportedHere() {
    reportedHere = true;
  }

  /** Returns whether this daemon reported the crash and the part is a suspect of it. */
  boolean isReportedHereWith(PartKey part) {
    return reportedHere && suspects.values().stream().anyMatch(parts -> parts.containsKey(part));
  }

  /** Stores the crash at least until a time. */
  void extendUntil(long atMillis) {
    expiresAtMillis = Math.max(expiresAtMillis, atMillis);
  }

  long expiresAtMillis() {
    return expiresAtMillis;
  }

  Optional<SoftwareVersion> version() {
    return version;
  }

  boolean hasSuspects() {
    return !suspects.isEmpty();
  }

  /** Returns the suspects of each request. */
  List<PartSuspects> suspects() {
    return suspects.entrySet().stream()
        .map(entry -> new PartSuspects(entry.getKey(), List.copyOf(entry.getValue().values())))
        .toList();
  }

  private PartKey key(SharedPromptPart part) {
    return new PartKey(part.fingerprint(), version);
  }
}
