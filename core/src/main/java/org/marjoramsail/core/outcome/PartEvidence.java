package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Determines which prompt parts caused the stored crashes of upstreams.
 *
 * <p>A part is a cause when enough crashes that no other cause explains have it as a suspect, in
 * requests of at least two contents. Parts that are suspects of exactly the same of these crashes
 * cannot be distinguished; they form a group, and only a request that holds all of them is refused.
 */
final class PartEvidence {

  /** Minimum number of contents with a cause: a single content may crash upstreams by itself. */
  private static final int MINIMUM_CONTENTS = 2;

  private final int crashLimit;

  /** Contents of the requests with each part, for each crash of which the part is a suspect. */
  private final Map<PartKey, Map<CrashId, Set<Long>>> contents = new LinkedHashMap<>();

  /** Suspects of each crash. */
  private final Map<CrashId, Set<PartKey>> parts = new HashMap<>();

  /** Parts that others follow in a prompt, so that many sound requests share them. */
  private final Set<PartKey> leading = new HashSet<>();

  /**
   * Creates the evidence of crashes.
   *
   * @param crashLimit number of crashes that a cause needs
   * @param crashes the stored crashes
   */
  PartEvidence(int crashLimit, Map<CrashId, PartCrash> crashes) {
    this.crashLimit = crashLimit;
    crashes.forEach(this::add);
  }

  private void add(CrashId id, PartCrash crash) {
    for (PartSuspects one : crash.suspects()) {
      if (one.parts().size() > 1) {
        leading.add(new PartKey(one.parts().get(0).fingerprint(), crash.version()));
      }
      for (SharedPromptPart part : one.parts()) {
        PartKey key = new PartKey(part.fingerprint(), crash.version());
        contents
            .computeIfAbsent(key, unused -> new HashMap<>())
            .computeIfAbsent(id, unused -> new HashSet<>())
            .add(one.content());
        parts.computeIfAbsent(id, unused -> new HashSet<>()).add(key);
      }
    }
  }

  boolean isSuspect(PartKey part) {
    return contents.containsKey(part);
  }

  Set<CrashId> crashes(PartKey part) {
    return contents.getOrDefault(part, Map.of()).keySet();
  }

  /**
   * Returns the groups of parts that are causes.
   *
   * <p>Earlier causes are considered first. Their requests are refused and add no further crashes,
   * whereas a sound part that other requests share may become a suspect of more crashes.
   *
   * @param before the groups that were found before the latest change
   */
  List<Set<PartKey>> causes(Collection<Set<PartKey>> before) {
    List<Set<PartKey>> causes = new ArrayList<>();
    Set<CrashId> explained = new HashSet<>();
    for (Set<PartKey> group : before) {
      withMostCrashes(group).ifPresent(found -> addCause(found, causes, explained));
    }
    for (Set<PartKey> found = nextCause(explained);
        !found.isEmpty();
        found = nextCause(explained)) {
      addCause(found, causes, explained);
    }
    return causes;
  }

  private void addCause(Set<PartKey> found, List<Set<PartKey>> causes, Set<CrashId> explained) {
    causes.add(found);
    found.forEach(part -> explained.addAll(crashes(part)));
  }

  /** Returns the parts of a group with the most crashes, if these are still enough. */
  private Optional<Set<PartKey>> withMostCrashes(Set<PartKey> group) {
    int most = group.stream().mapToInt(part -> crashes(part).size()).max().orElse(0);
    Set<PartKey> found = new HashSet<>(group);
    found.removeIf(part -> crashes(part).size() < most);
    return Optional.of(found)
        .filter(remaining -> remaining.stream().anyMatch(part -> isCause(part, Set.of())));
  }

  /** Returns the parts that explain the most of the other crashes; none if these are too few. */
  private Set<PartKey> nextCause(Set<CrashId> explained) {
    Optional<PartKey> best =
        contents.keySet().stream()
            .filter(part -> isCause(part, explained))
            .max(
                Comparator.comparingInt((PartKey part) -> unexplained(part, explained).size())
                    .thenComparing(this::soleSuspectCount));
    if (best.isEmpty()) {
      return Set.of();
    }
    Set<CrashId> crashes = unexplained(best.get(), explained);
    Set<PartKey> group = new HashSet<>(contents.keySet());
    group.removeIf(part -> !unexplained(part, explained).equals(crashes));
    return group;
  }

  private boolean isCause(PartKey part, Set<CrashId> explained) {
    Set<CrashId> crashes = unexplained(part, explained);
    long contentCount =
        crashes.stream().flatMap(id -> contents.get(part).get(id).stream()).distinct().count();
    return crashes.size() >= crashLimit(part) && contentCount >= MINIMUM_CONTENTS;
  }

  /**
   * Returns the number of crashes that a cause needs: one more for a part that others follow, since
   * the earlier a part is in a prompt, the more sound requests share it.
   */
  private int crashLimit(PartKey part) {
    return leading.contains(part) ? crashLimit + 1 : crashLimit;
  }

  private Set<CrashId> unexplained(PartKey part, Set<CrashId> explained) {
    Set<CrashId> crashes = new HashSet<>(crashes(part));
    crashes.removeAll(explained);
    return crashes;
  }

  /** Returns the number of crashes of which the part is the only suspect. */
  private long soleSuspectCount(PartKey part) {
    return crashes(part).stream().filter(id -> parts.get(id).size() == 1).count();
  }
}
