package org.marjoramsail.core.placement;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.admission.EarmarkedEngines;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.placement.OrganisationState.OrganisationLane;

/** Finds the waiting attempt that is granted next. */
final class GrantFinder {

  /** Maximum number of different sets of excluded upstreams that are tried in one lane. */
  private static final int MAXIMUM_RESTRICTIONS_TRIED = 8;

  /** Maximum number of attempts of a lane that are considered behind one that lacks memory. */
  private static final int MAXIMUM_PASSING = 16;

  /** An attempt and the upstreams that were selected for it. */
  record PendingGrant(WaitingAttempt attempt, PlacementCandidate choice) {}

  private final WaitingQueue queue;
  private final UpstreamSelector selector;
  private final UrgentCapacity urgentCapacity;
  private final Map<RequestId, WaitingAttempt> waiting;

  GrantFinder(
      WaitingQueue queue,
      UpstreamSelector selector,
      UrgentCapacity urgentCapacity,
      Map<RequestId, WaitingAttempt> waiting) {
    this.queue = queue;
    this.selector = selector;
    this.urgentCapacity = urgentCapacity;
    this.waiting = waiting;
  }

  /**
   * Finds the next attempt that fits and skips lanes whose resource is used up.
   *
   * <p>It also skips lanes behind a lane of the same urgency rank that waits for a slot or engine
   * memory. Guards against small late requests that take each freed part of the memory while larger
   * requests that could still meet their target wait behind them. Less urgent ranks, and smaller
   * requests behind a large one, continue without the upstreams that are {@linkplain UrgentCapacity
   * earmarked} for what waits.
   */
  Optional<PendingGrant> findNext(long nowMillis) {
    if (selector.freeSlots(ServiceClass.QUICK, nowMillis) <= 0) {
      return Optional.empty();
    }
    boolean isPrefillAvailable = selector.hasPrefillCapacity(nowMillis);
    urgentCapacity.releaseUnused(name -> Optional.ofNullable(waiting.get(name)), nowMillis);
    urgentCapacity.refreshReserve(nowMillis);
    BitSet blocked = new BitSet(WaitingQueue.LANES);
    int largestBlocking = 0;
    for (WaitingQueue.Lane lane : queue.lanesInOrder()) {
      if (lane.needsPrefillUpstream() && !isPrefillAvailable) {
        continue;
      }
      urgentCapacity.earmarkForLarge(lane, nowMillis);
      if (blocked.get(lane.index())) {
        continue;
      }
      Optional<PendingGrant> found = findInLane(lane, nowMillis);
      if (found.isPresent()) {
        return found;
      }
      Optional<WaitingAttempt> head = lane.headWaitingForSlot(nowMillis);
      if (head.isPresent()) {
        largestBlocking = Math.max(largestBlocking, head.get().request().memoryTokens());
        for (int other = lane.index() + 1; other < WaitingQueue.LANES; other++) {
          blocked.set(other, blocked.get(other) || lane.blocks(other));
        }
        if (lane.isRankedWithinTarget() && queue.isLessUrgentWaiting(lane.urgency())) {
          urgentCapacity.earmarkFor(lane, nowMillis);
        }
      }
    }
    return findLateHolder(isPrefillAvailable, largestBlocking, nowMillis);
  }

  /**
   * Finds a late attempt that fits and for which an upstream is earmarked, even if its lane is
   * blocked by attempts that are not larger.
   *
   * <p>Guards against an upstream that is closed to small requests within their target and has room
   * for a late large one, whose lane they block.
   */
  private Optional<PendingGrant> findLateHolder(
      boolean isPrefillAvailable, int largestBlocking, long nowMillis) {
    for (EarmarkedEngines.Earmark earmark : urgentCapacity.earmarks()) {
      WaitingAttempt attempt = waiting.get(earmark.holder().request());
      boolean isNext =
          attempt != null
              && attempt.isLate()
              && attempt.request().memoryTokens() >= largestBlocking
              && (isPrefillAvailable || !attempt.needsPrefillUpstream());
      Optional<PlacementCandidate> choice =
          isNext ? selector.select(attempt, nowMillis) : Optional.empty();
      if (choice.isPresent()) {
        return Optional.of(new PendingGrant(attempt, choice.get()));
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the first attempt that fits. After one without excluded upstreams that does not, only
   * smaller ones are tried if an upstream is kept for it; after one with excluded upstreams, only
   * those that exclude others.
   */
  private Optional<PendingGrant> findInLane(WaitingQueue.Lane lane, long nowMillis) {
    Set<WaitingAttempt.Restriction> tried = new HashSet<>();
    for (OrganisationLane organisationLane : lane.organisations()) {
      if (organisationLane.organisation().missing(nowMillis).isPresent()) {
        continue;
      }
      for (WaitingAttempt attempt : organisationLane.attempts()) {
        if (tried.contains(attempt.restriction())) {
          continue;
        }
        Optional<PlacementCandidate> choice = selector.select(attempt, nowMillis);
        if (choice.isPresent()) {
          return Optional.of(new PendingGrant(attempt, choice.get()));
        }
        tried.add(attempt.restriction());
        if (!attempt.isRestricted()) {
          return findSmaller(lane, attempt, nowMillis);
        }
        if (tried.size() >= MAXIMUM_RESTRICTIONS_TRIED) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Finds an attempt of a lane that fits and is smaller than the first one, for which an upstream
   * is kept. Guards against upstreams that stay idle while one of them gains room.
   */
  private Optional<PendingGrant> findSmaller(
      WaitingQueue.Lane lane, WaitingAttempt first, long nowMillis) {
    if (!lane.isRankedWithinTarget() || !urgentCapacity.isKeptFromSmaller(first)) {
      return Optional.empty();
    }
    int leastFailed = first.request().memoryTokens();
    for (WaitingAttempt attempt : lane.first(MAXIMUM_PASSING, nowMillis)) {
      if (attempt.request().memoryTokens() >= leastFailed) {
        continue;
      }
      Optional<PlacementCandidate> choice = selector.select(attempt, nowMillis);
      if (choice.isPresent()) {
        return Optional.of(new PendingGrant(attempt, choice.get()));
      }
      leastFailed = attempt.isRestricted() ? leastFailed : attempt.request().memoryTokens();
    }
    return Optional.empty();
  }
}
