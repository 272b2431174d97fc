package org.marjoramsail.core.feedback;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Table of the feedback that one host has received from upstreams.
 *
 * <p>A rate limit holds until a response has none. Draining is final for an incarnation; feedback
 * that contradicts it is outdated. A pause holds for the requested time. All feedback ends with the
 * incarnation of the upstream.
 *
 * <p>The load of an upstream is kept only if it states how fast its machine is at present.
 *
 * <p>Feedback is kept while its upstream is missing from the list. Guards against new work on an
 * upstream that is draining: its entry may expire during an outage of the store and be written
 * again.
 *
 * <p>Safe for several threads.
 */
public final class UpstreamFeedbackTable {

  /** Time for which the feedback of an unlisted incarnation is kept, in milliseconds. */
  private static final long RETENTION_MILLIS = 600_000;

  /**
   * Age above which a load is not relayed: the speed of a machine changes several times a second.
   */
  private static final long MAXIMUM_LOAD_AGE_MILLIS = 1_000;

  /** Limits the size of a message with the loads of many upstreams. */
  private static final int MAXIMUM_RELAYED_LOADS = 8;

  private static final class Entry {
    private long listedAtMillis;
    private Optional<Double> requestsPerSecond = Optional.empty();
    private long limitReceivedAtMillis;
    private boolean leaving;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private Optional<StatedLoad> load = Optional.empty();
    private long loadReceivedAtMillis;
    private long loadNumber;

    boolean isLimitedOrLeaving() {
      return leaving || requestsPerSecond.isPresent();
    }

    boolean hasLoadFrom(long number, long nowMillis) {
      return load.isPresent()
          && loadNumber >= number
          && nowMillis - loadReceivedAtMillis < MAXIMUM_LOAD_AGE_MILLIS;
    }

    RelayedFeedback relayed(Incarnation upstream, boolean withLoad, long nowMillis) {
      return new RelayedFeedback(
          upstream.upstream(),
          upstream.startedAtMillis(),
          requestsPerSecond,
          leaving,
          requestsPerSecond.isPresent() ? nowMillis - limitReceivedAtMillis : 0,
          withLoad ? load : Optional.empty(),
          withLoad ? nowMillis - loadReceivedAtMillis : 0);
    }
  }

  private final Map<Incarnation, Entry> entries = new HashMap<>();
  private long lastLoadNumber;

  /** Creates an empty table. */
  public UpstreamFeedbackTable() {}

  /**
   * Handles the feedback in a response of an upstream.
   *
   * @param upstream incarnation that the request was sent to
   * @param feedback the feedback
   * @param nowMillis the current time
   * @return the changes that it causes
   */
  public synchronized Set<FeedbackChange> update(
      Incarnation upstream, UpstreamFeedback feedback, long nowMillis) {
    Optional<StatedLoad> slowdown =
        feedback.load().filter(load -> load.slowdownPercent().isPresent());
    boolean isEmpty =
        feedback.requestsPerSecond().isEmpty()
            && !feedback.leaving()
            && feedback.pauseMillis().isEmpty()
            && feedback.unreadable() == 0
            && slowdown.isEmpty();
    if (isEmpty && !entries.containsKey(upstream)) {
      return Set.of();
    }
    Set<FeedbackChange> changes = EnumSet.noneOf(FeedbackChange.class);
    Entry entry = entries.computeIfAbsent(upstream, incarnation -> new Entry());
    entry.listedAtMillis = nowMillis;
    if (feedback.unreadable() > 0) {
      changes.add(FeedbackChange.UNREADABLE);
    }
    limitChange(entry, feedback).ifPresent(changes::add);
    if (feedback.requestsPerSecond().isPresent()) {
      entry.limitReceivedAtMillis = nowMillis;
    }
    if (slowdown.isPresent()) {
      entry.load = slowdown;
      entry.loadReceivedAtMillis = nowMillis;
      entry.loadNumber = ++lastLoadNumber;
    }
    if (feedback.leaving() && !entry.leaving) {
      entry.leaving = true;
      changes.add(FeedbackChange.LEAVING_STATED);
    }
    feedback
        .pauseMillis()
        .ifPresent(
            millis -> {
              entry.pausedUntilMillis = Math.max(entry.pausedUntilMillis, nowMillis + millis);
              changes.add(FeedbackChange.PAUSE_ASKED);
            });
    return changes;
  }

  /** Records which incarnations are listed, and removes those that were not listed for too long. */
  public synchronized void listed(Set<Incarnation> listedIncarnations, long nowMillis) {
    entries.forEach(
        (incarnation, entry) -> {
          if (listedIncarnations.contains(incarnation)) {
            entry.listedAtMillis = nowMillis;
          }
        });
    entries.values().removeIf(entry -> nowMillis - entry.listedAtMillis > RETENTION_MILLIS);
  }

  /**
   * Returns the feedback that the owner of a shard needs on its upstreams; usually none.
   *
   * <p>Rate limits and draining are part of each message. A load is part of the next one only, and
   * of many loads the latest are relayed, so that messages stay small where upstreams state their
   * load with each response.
   *
   * @param upstreams the upstreams of the shard
   * @param position how far loads have been relayed to this owner; advanced by this call
   * @param nowMillis the current time
   */
  public synchronized List<RelayedFeedback> toRelay(
      List<UpstreamDefinition> upstreams, LoadPosition position, long nowMillis) {
    if (entries.isEmpty()) {
      return List.of();
    }
    long oldestNumber = oldestRelayedLoad(upstreams, position.number(), nowMillis);
    position.advance(lastLoadNumber, nowMillis);
    List<RelayedFeedback> relayed = new ArrayList<>();
    for (UpstreamDefinition upstream : upstreams) {
      Entry entry = entries.get(upstream.incarnation());
      if (entry == null) {
        continue;
      }
      boolean withLoad = entry.hasLoadFrom(oldestNumber, nowMillis);
      if (withLoad || entry.isLimitedOrLeaving()) {
        relayed.add(entry.relayed(upstream.incarnation(), withLoad, nowMillis));
      }
    }
    return relayed;
  }

  /** Returns the number of the oldest load that the next message may contain. */
  private long oldestRelayedLoad(
      List<UpstreamDefinition> upstreams, long relayedNumber, long nowMillis) {
    if (lastLoadNumber <= relayedNumber) {
      return Long.MAX_VALUE;
    }
    return upstreams.stream()
        .map(upstream -> entries.get(upstream.incarnation()))
        .filter(entry -> entry != null && entry.hasLoadFrom(relayedNumber + 1, nowMillis))
        .map(entry -> entry.loadNumber)
        .sorted(Comparator.reverseOrder())
        .limit(MAXIMUM_RELAYED_LOADS)
        .reduce(Long.MAX_VALUE, Math::min);
  }

  /**
   * Returns whether an upstream accepts requests from this host now.
   *
   * <p>Called just before each send: the owner that granted the upstream may not have received its
   * feedback yet.
   */
  public synchronized boolean isAccepting(Incarnation upstream, long nowMillis) {
    Entry entry = entries.get(upstream);
    return entry == null || !(entry.leaving || nowMillis < entry.pausedUntilMillis);
  }

  /** Returns which of these upstreams have requested a pause from this host, and until when. */
  public synchronized Map<UpstreamName, Long> pausedUntil(
      List<UpstreamDefinition> upstreams, long nowMillis) {
    if (paused(nowMillis) == 0) {
      return Map.of();
    }
    Map<UpstreamName, Long> paused = new HashMap<>();
    for (UpstreamDefinition upstream : upstreams) {
      Entry entry = entries.get(upstream.incarnation());
      if (entry != null && nowMillis < entry.pausedUntilMillis) {
        paused.put(upstream.name(), entry.pausedUntilMillis);
      }
    }
    return paused;
  }

  /** Returns the number of upstreams with a rate limit. */
  public synchronized long limited() {
    return entries.values().stream().filter(entry -> entry.requestsPerSecond.isPresent()).count();
  }

  /** Returns the number of upstreams that are draining. */
  public synchronized long leaving() {
    return entries.values().stream().filter(entry -> entry.leaving).count();
  }

  /** Returns the number of upstreams that have requested a pause from this host. */
  public synchronized long paused(long nowMillis) {
    return entries.values().stream().filter(entry -> nowMillis < entry.pausedUntilMillis).count();
  }

  /** Applies the rate limit of the feedback. An invalid limit neither sets nor ends one. */
  private static Optional<FeedbackChange> limitChange(Entry entry, UpstreamFeedback feedback) {
    Optional<Double> before = entry.requestsPerSecond;
    Optional<Double> after = feedback.requestsPerSecond();
    if (before.equals(after) || (after.isEmpty() && feedback.unreadable() > 0)) {
      return Optional.empty();
    }
    entry.requestsPerSecond = after;
    if (before.isEmpty()) {
      return Optional.of(FeedbackChange.LIMIT_STATED);
    }
    return Optional.of(after.isEmpty() ? FeedbackChange.LIMIT_ENDED : FeedbackChange.LIMIT_CHANGED);
  }
}
