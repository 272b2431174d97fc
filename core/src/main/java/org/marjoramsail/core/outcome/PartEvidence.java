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
 * Derives from the crashes of upstreams which prompt parts are their cause.
 *
 * <p>A part is a cause when it was on enough crashed upstreams, in requests of at least two
 * contents, that no other cause explains. Parts that were on the same of these upstreams cannot be
 * told apart; they form a group, and only a request that holds all of them is refused.
 */
final class PartEvidence {

  /** A part is not the cause if only one content with it has crashed upstreams. */
  private static final int CONTENT_LIMIT = 2;

  private final int crashLimit;
  private final Map<PartKey, Map<CrashId, Set<Long>>> contents = new LinkedHashMap<>();
  private final Map<CrashId, Set<PartKey>> parts = new HashMap<>();
  private final Set<PartKey> leading = new HashSet<>();

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
   * Returns the groups of parts that are causes, given those that were found before.
   *
   * <p>Earlier causes come first, since the refusal of their requests ends their evidence while
   * that of innocent parts still grows.
   */
  List<Set<PartKey>> causes(Collection<Set<PartKey>> before) {
    List<Set<PartKey>> causes = new ArrayList<>();
    Set<CrashId> explained = new HashSet<>();
    for (Set<PartKey> group : before) {
      strongest(group).ifPresent(found -> addCause(found, causes, explained));
    }
    for (Set<PartKey> found = next(explained); !found.isEmpty(); found = next(explained)) {
      addCause(found, causes, explained);
    }
    return causes;
  }

  private void addCause(Set<PartKey> found, List<Set<PartKey>> causes, Set<CrashId> explained) {
    causes.add(found);
    found.forEach(part -> explained.addAll(crashes(part)));
  }

  /** Returns the parts of a group with the most crashes, if these are still enough. */
  private Optional<Set<PartKey>> strongest(Set<PartKey> group) {
    int most = group.stream().mapToInt(part -> crashes(part).size()).max().orElse(0);
    Set<PartKey> found = new HashSet<>(group);
    found.removeIf(part -> crashes(part).size() < most);
    return Optional.of(found)
        .filter(remaining -> remaining.stream().anyMatch(part -> isCause(part, Set.of())));
  }

  /** Returns the parts that explain the most of the other crashes; none if these are too few. */
  private Set<PartKey> next(Set<CrashId> explained) {
    Optional<PartKey> best =
        contents.keySet().stream()
            .filter(part -> isCause(part, explained))
            .max(
                Comparator.comparingInt((PartKey part) -> unexplained(part, explained).size())
                    .thenComparing(this::soleCount));
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
    return crashes.size() >= crashLimit(part) && contentCount >= CONTENT_LIMIT;
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
  private long soleCount(PartKey part) {
    return crashes(part).stream().filter(id -> parts.get(id).size() == 1).count();
  }
}
