package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Finds the shared prompt parts that crash upstreams.
 *
 * <p>Guards against requests of different contents that share a part which crashes every upstream
 * that generates output on it. A part is a suspect of a crash if a request with it was on the
 * upstream and had given no output. Output of any request with the part, on any daemon, clears it
 * on that software version.
 *
 * <p>Not safe for several threads; used under the lock of {@link Quarantine}.
 */
final class PromptPartQuarantine {

  /** Number of crashes after which a part is refused; one more for a part that others follow. */
  static final int CRASH_LIMIT = 2;

  /** Maximum number of stored crashes, which bounds the memory; the oldest is removed first. */
  private static final int MAXIMUM_CRASHES = 256;

  /** Maximum number of suspects of a crash, which bounds the memory. */
  private static final int MAXIMUM_PARTS_OF_CRASH = 256;

  /** Maximum number of parts that are stored as cleared, which bounds the memory. */
  private static final int MAXIMUM_CLEARED_PARTS = 10_000;

  private final long lifetimeMillis;
  private final int crashLimit;
  private final QuarantineListener listener;
  private final ClearedParts cleared;
  private final Map<CrashId, PartCrash> crashes = new LinkedHashMap<>();
  private final ArrayDeque<PeerMessage> outgoing = new ArrayDeque<>();
  private PartEvidence evidence;

  /** Groups of parts that are refused; a request is refused if it holds a whole group. */
  private List<Set<PartKey>> causes = List.of();

  PromptPartQuarantine(long lifetimeMillis, int crashLimit, QuarantineListener listener) {
    this.lifetimeMillis = lifetimeMillis;
    this.crashLimit = crashLimit;
    this.listener = listener;
    this.cleared = new ClearedParts(lifetimeMillis, MAXIMUM_CLEARED_PARTS);
    this.evidence = new PartEvidence(crashLimit, crashes);
  }

  /** Records that a request gave output, which clears its parts. */
  void outputReceived(
      Collection<SharedPromptPart> parts,
      Optional<SoftwareVersion> version,
      UpstreamName upstream,
      long nowMillis) {
    Set<PartKey> keys = new LinkedHashSet<>();
    parts.forEach(part -> keys.add(new PartKey(part.fingerprint(), version)));
    keys.forEach(key -> cleared.add(key, nowMillis));
    keys.removeIf(key -> !evidence.isSuspect(key));
    if (!keys.isEmpty()) {
      clear(keys, nowMillis);
      changed(QuarantineChange.Kind.PART_CLEARED, upstream, fingerprints(keys), "output");
      outgoing.add(new PartClearanceMessage(version, fingerprints(keys), false));
    }
  }

  /** Records the parts of the attempts without output; no other attempt can be the cause. */
  void crashed(CrashId crash, List<RunningAttempt> runs, long nowMillis) {
    Map<Optional<SoftwareVersion>, List<PartSuspects>> suspects = new HashMap<>();
    for (RunningAttempt run : runs) {
      if (!run.outputReceived && !run.parts.isEmpty()) {
        suspects
            .computeIfAbsent(run.version, unused -> new ArrayList<>())
            .add(new PartSuspects(run.fingerprint, run.parts));
      }
    }
    suspects.forEach((version, parts) -> crashed(crash, version, parts, nowMillis));
  }

  /** Records a proven crash of an upstream, with the requests on it that had given no output. */
  void crashed(
      CrashId crash,
      Optional<SoftwareVersion> version,
      List<PartSuspects> suspects,
      long nowMillis) {
    List<PartSuspects> uncleared = uncleared(suspects, version, nowMillis);
    if (uncleared.isEmpty()) {
      return;
    }
    PartCrashMessage message =
        new PartCrashMessage(
            crash.upstream(), crash.incarnation(), version, uncleared, lifetimeMillis);
    changed(QuarantineChange.Kind.PART_SUSPECTED, crash.upstream(), parts(uncleared), "crash");
    record(message, nowMillis);
    crashes.get(crash).reportedHere();
    outgoing.add(message);
  }

  /**
   * Handles the report of a crash from another daemon.
   *
   * @return the clearance of the parts that have given output here, for that daemon
   */
  Optional<PeerMessage> handle(DaemonId from, PartCrashMessage message, long nowMillis) {
    Set<PartKey> clearedHere =
        parts(message.suspects()).stream()
            .map(part -> new PartKey(part, message.version()))
            .filter(part -> cleared.contains(part, nowMillis))
            .collect(Collectors.toCollection(LinkedHashSet::new));
    changed(
        QuarantineChange.Kind.PART_REPORTED,
        message.upstream(),
        parts(message.suspects()),
        from.host());
    record(message, nowMillis);
    return clearedHere.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new PartClearanceMessage(message.version(), fingerprints(clearedHere), false));
  }

  /**
   * Handles the clearance of parts by another daemon.
   *
   * <p>A reply to the report of a crash reaches only the daemon that sent the report, so that
   * daemon forwards the clearance to all others.
   */
  void handle(DaemonId from, PartClearanceMessage message, long nowMillis) {
    Set<PartKey> keys = new LinkedHashSet<>();
    message.parts().stream()
        .limit(MAXIMUM_PARTS_OF_CRASH)
        .forEach(part -> keys.add(new PartKey(part, message.version())));
    Set<PartKey> suspects = new LinkedHashSet<>(keys);
    suspects.removeIf(key -> !evidence.isSuspect(key));
    if (message.lifted()) {
      lift(suspects, nowMillis);
    } else {
      forwardClearance(message.version(), suspects);
      keys.forEach(key -> cleared.add(key, nowMillis));
      clear(suspects, nowMillis);
    }
    if (!suspects.isEmpty()) {
      logCleared(QuarantineChange.Kind.PART_CLEARED_BY_REPORT, suspects, from.host());
    }
  }

  private void forwardClearance(Optional<SoftwareVersion> version, Set<PartKey> suspects) {
    List<Long> reported =
        suspects.stream()
            .filter(key -> crashes.values().stream().anyMatch(one -> one.isReportedHereWith(key)))
            .map(PartKey::fingerprint)
            .toList();
    if (!reported.isEmpty()) {
      outgoing.add(new PartClearanceMessage(version, reported, false));
    }
  }

  private void record(PartCrashMessage message, long nowMillis) {
    expire(nowMillis);
    CrashId id = new CrashId(message.upstream(), message.incarnation());
    if (!crashes.containsKey(id) && crashes.size() >= MAXIMUM_CRASHES) {
      crashes.remove(crashes.keySet().iterator().next());
    }
    PartCrash crash = crashes.computeIfAbsent(id, unused -> new PartCrash(message.version()));
    crash.add(
        message.suspects(), part -> cleared.contains(part, nowMillis), MAXIMUM_PARTS_OF_CRASH);
    crash.extendUntil(nowMillis + Math.min(lifetimeMillis, message.lifetimeMillis()));
    evaluate(message.upstream());
  }

  /** Returns the parts for which a request with these parts is refused; none if it may run. */
  List<SharedPromptPart> refusing(Collection<SharedPromptPart> parts, long nowMillis) {
    if (parts.isEmpty() || crashes.isEmpty()) {
      return List.of();
    }
    expire(nowMillis);
    Set<Long> held = parts.stream().map(SharedPromptPart::fingerprint).collect(Collectors.toSet());
    return causes.stream()
        .filter(group -> held.containsAll(fingerprints(group)))
        .findFirst()
        .map(group -> parts.stream().filter(part -> isIn(part, group)).distinct().toList())
        .orElse(List.of());
  }

  /** Returns the fingerprints of the parts of a request that are suspects on any version. */
  Set<Long> suspects(Collection<SharedPromptPart> parts, long nowMillis) {
    if (parts.isEmpty() || crashes.isEmpty()) {
      return Set.of();
    }
    expire(nowMillis);
    Set<Long> held = parts.stream().map(SharedPromptPart::fingerprint).collect(Collectors.toSet());
    held.removeIf(part -> versions(part).stream().noneMatch(key -> evidence.isSuspect(key)));
    return held;
  }

  boolean isCleared(SharedPromptPart part, Optional<SoftwareVersion> version, long nowMillis) {
    return cleared.contains(new PartKey(part.fingerprint(), version), nowMillis);
  }

  /** Removes and returns the messages for the other daemons. */
  List<PeerMessage> takeMessages() {
    List<PeerMessage> messages = List.copyOf(outgoing);
    outgoing.clear();
    return messages;
  }

  /** Returns a report of each stored crash that has suspects. */
  List<PartCrashMessage> reports(long nowMillis) {
    expire(nowMillis);
    List<PartCrashMessage> reports = new ArrayList<>();
    crashes.forEach(
        (id, crash) -> {
          if (crash.hasSuspects()) {
            reports.add(
                new PartCrashMessage(
                    id.upstream(),
                    id.incarnation(),
                    crash.version(),
                    crash.suspects(),
                    crash.expiresAtMillis() - nowMillis));
          }
        });
    return reports;
  }

  /** Returns the parts that are suspected or refused. */
  List<PartEntry> list(long nowMillis) {
    expire(nowMillis);
    Map<Long, SharedPromptPart> known = new LinkedHashMap<>();
    for (PartCrash crash : crashes.values()) {
      crash.suspects().stream()
          .flatMap(one -> one.parts().stream())
          .forEach(part -> known.putIfAbsent(part.fingerprint(), part));
    }
    return known.values().stream().map(part -> entry(part, nowMillis)).toList();
  }

  private PartEntry entry(SharedPromptPart part, long nowMillis) {
    Set<CrashId> ids = new HashSet<>();
    versions(part.fingerprint()).forEach(key -> ids.addAll(evidence.crashes(key)));
    long expiresAtMillis =
        ids.stream().mapToLong(id -> crashes.get(id).expiresAtMillis()).max().orElse(nowMillis);
    boolean refused = causes.stream().anyMatch(group -> isIn(part, group));
    return new PartEntry(
        part.fingerprint(),
        part.id(),
        refused ? Suspicion.QUARANTINED : Suspicion.SUSPECT,
        ids.size(),
        expiresAtMillis - nowMillis);
  }

  /** Lifts a part here and, by message, on all other daemons. */
  boolean lift(long fingerprint, long nowMillis) {
    expire(nowMillis);
    Set<PartKey> keys = new LinkedHashSet<>(versions(fingerprint));
    keys.removeIf(key -> !evidence.isSuspect(key));
    if (keys.isEmpty()) {
      return false;
    }
    lift(keys, nowMillis);
    logCleared(QuarantineChange.Kind.PART_CLEARED, keys, "operator");
    keys.forEach(
        key -> outgoing.add(new PartClearanceMessage(key.version(), List.of(fingerprint), true)));
    return true;
  }

  /** Returns the keys of a part for the software versions of all stored crashes. */
  private Set<PartKey> versions(long fingerprint) {
    return crashes.values().stream()
        .map(crash -> new PartKey(fingerprint, crash.version()))
        .collect(Collectors.toSet());
  }

  private void clear(Set<PartKey> keys, long nowMillis) {
    keys.forEach(key -> crashes.values().forEach(crash -> crash.clear(key)));
    expire(nowMillis);
    evaluateAfterRemoval();
  }

  private void lift(Set<PartKey> keys, long nowMillis) {
    keys.forEach(key -> crashes.values().forEach(crash -> crash.lift(key)));
    expire(nowMillis);
    evaluateAfterRemoval();
  }

  private void expire(long nowMillis) {
    if (crashes.values().removeIf(crash -> nowMillis >= crash.expiresAtMillis())) {
      evaluateAfterRemoval();
    }
  }

  private void evaluateAfterRemoval() {
    crashes.keySet().stream().findFirst().ifPresent(id -> evaluate(id.upstream()));
    if (crashes.isEmpty()) {
      evidence = new PartEvidence(crashLimit, crashes);
      causes = List.of();
    }
  }

  /** Determines the causes from the stored crashes, and reports those that are new. */
  private void evaluate(UpstreamName upstream) {
    Set<PartKey> before = causes.stream().flatMap(Set::stream).collect(Collectors.toSet());
    evidence = new PartEvidence(crashLimit, crashes);
    causes = evidence.causes(causes);
    Set<PartKey> added = causes.stream().flatMap(Set::stream).collect(Collectors.toSet());
    added.removeAll(before);
    for (PartKey part : added) {
      String count = evidence.crashes(part).size() + " crashes";
      changed(QuarantineChange.Kind.PART_QUARANTINED, upstream, List.of(part.fingerprint()), count);
    }
  }

  private List<PartSuspects> uncleared(
      List<PartSuspects> suspects, Optional<SoftwareVersion> version, long nowMillis) {
    return suspects.stream()
        .map(
            one ->
                new PartSuspects(
                    one.content(),
                    one.parts().stream()
                        .filter(part -> !isCleared(part, version, nowMillis))
                        .toList()))
        .filter(one -> !one.parts().isEmpty())
        .toList();
  }

  private static boolean isIn(SharedPromptPart part, Set<PartKey> group) {
    return group.stream().anyMatch(key -> key.fingerprint() == part.fingerprint());
  }

  private static List<Long> fingerprints(Collection<PartKey> keys) {
    return keys.stream().map(PartKey::fingerprint).toList();
  }

  private static List<Long> parts(List<PartSuspects> suspects) {
    return suspects.stream()
        .flatMap(one -> one.parts().stream())
        .map(SharedPromptPart::fingerprint)
        .distinct()
        .toList();
  }

  private void logCleared(QuarantineChange.Kind kind, Set<PartKey> keys, String source) {
    crashes.keySet().stream()
        .findFirst()
        .ifPresent(id -> changed(kind, id.upstream(), fingerprints(keys), source));
  }

  private void changed(
      QuarantineChange.Kind kind, UpstreamName upstream, List<Long> parts, String source) {
    listener.changed(new QuarantineChange(kind, upstream, parts, source));
  }
}
