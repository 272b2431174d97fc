package org.marjoramsail.core.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.placement.OrganisationState.OrganisationLane;

/** Finds the waiting attempt that is granted next. */
final class GrantFinder {

  /** Maximum number of different sets of excluded upstreams that are tried in one lane. */
  private static final int MAXIMUM_RESTRICTIONS_TRIED = 8;

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
   * requests that could still meet their target wait behind them. Less urgent ranks continue
   * without the upstreams that are {@linkplain UrgentCapacity earmarked} for what waits.
   */
  Optional<PendingGrant> findNext(long nowMillis) {
    if (selector.freeSlots(ServiceClass.QUICK, nowMillis) <= 0) {
      return Optional.empty();
    }
    boolean isPrefillAvailable = selector.hasPrefillCapacity(nowMillis);
    urgentCapacity.releaseUnused(name -> Optional.ofNullable(waiting.get(name)), nowMillis);
    urgentCapacity.refreshReserve(nowMillis);
    BitSet blocked = new BitSet(WaitingQueue.LANES);
    for (WaitingQueue.Lane lane : queue.lanesInOrder()) {
      if (blocked.get(lane.index()) || (lane.needsPrefillUpstream() && !isPrefillAvailable)) {
        continue;
      }
      Optional<PendingGrant> found = findInLane(lane.organisations(), nowMillis);
      if (found.isPresent()) {
        return found;
      }
      if (lane.isHeadWaitingForSlot(nowMillis)) {
        for (int other = lane.index() + 1; other < WaitingQueue.LANES; other++) {
          blocked.set(other, blocked.get(other) || lane.blocks(other));
        }
        if (lane.isRankedWithinTarget() && queue.isLessUrgentWaiting(lane.urgency())) {
          urgentCapacity.earmarkFor(lane, nowMillis);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the first attempt that fits; after one without excluded upstreams, none can fit, and
   * after one with some, none that excludes the same.
   */
  private Optional<PendingGrant> findInLane(Collection<OrganisationLane> lane, long nowMillis) {
    Set<WaitingAttempt.Restriction> tried = new HashSet<>();
    for (OrganisationLane organisationLane : lane) {
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
        if (!attempt.isRestricted() || tried.size() >= MAXIMUM_RESTRICTIONS_TRIED) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }
}
