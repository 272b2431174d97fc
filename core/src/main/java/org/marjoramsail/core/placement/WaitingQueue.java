package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.placement.OrganisationState.OrganisationLane;

/**
 * The queue of one shard: three lanes by urgency, in each start-time fair queueing between
 * organisations, in each of these by arrival or deadline.
 *
 * <p>All changes cost the logarithm of what waits; nothing walks the queue.
 */
final class WaitingQueue {

  /** The order of service within one lane of one organisation. */
  static final Comparator<WaitingAttempt> BY_ORDER =
      Comparator.comparingLong(WaitingAttempt::orderKey)
          .thenComparingLong(WaitingAttempt::sequence);

  private static final Comparator<WaitingAttempt> BY_DUE =
      Comparator.comparingLong(WaitingAttempt::dueAt).thenComparingLong(WaitingAttempt::sequence);

  private static final Comparator<OrganisationLane> BY_TAG =
      Comparator.<OrganisationLane>comparingDouble(OrganisationLane::startTag)
          .thenComparing(lane -> lane.organisation().name());

  /** After that many grants to other lanes, a lane that has attempts goes first. */
  private static final int[] LARGEST_SKIPPED = {Integer.MAX_VALUE, 6, 12};

  private final List<TreeSet<OrganisationLane>> lanes = new ArrayList<>();
  private final TreeSet<WaitingAttempt> due = new TreeSet<>(BY_DUE);
  private final double[] virtualTime = new double[ServiceClass.values().length];
  private final int[] skipped = new int[ServiceClass.values().length];
  private final int[] count = new int[ServiceClass.values().length];
  private final double[] work = new double[ServiceClass.values().length];
  private double activeWeight;

  WaitingQueue() {
    for (int lane = 0; lane < ServiceClass.values().length; lane++) {
      lanes.add(new TreeSet<>(BY_TAG));
    }
  }

  int size() {
    return due.size();
  }

  /** How many wait in the lanes down to that of {@code serviceClass}. */
  int countAhead(ServiceClass serviceClass) {
    int sum = 0;
    for (int lane = 0; lane <= serviceClass.rank(); lane++) {
      sum += count[lane];
    }
    return sum;
  }

  /** Prompt tokens that wait in the lanes down to that of {@code serviceClass}. */
  double workAhead(ServiceClass serviceClass) {
    double sum = 0;
    for (int lane = 0; lane <= serviceClass.rank(); lane++) {
      sum += work[lane];
    }
    return sum;
  }

  /** The weights of all organisations that wait in any lane, each lane counted. */
  double activeWeight() {
    return activeWeight;
  }

  void add(WaitingAttempt attempt) {
    OrganisationLane lane = attempt.organisation().lane(attempt.lane());
    if (lane.attempts().isEmpty()) {
      int rank = attempt.lane().rank();
      lane.startTag(Math.max(lane.startTag(), virtualTime[rank]));
      lanes.get(rank).add(lane);
      activeWeight += lane.join();
    }
    lane.attempts().add(attempt);
    due.add(attempt);
    account(attempt, 1);
  }

  void remove(WaitingAttempt attempt) {
    OrganisationLane lane = attempt.organisation().lane(attempt.lane());
    due.remove(attempt);
    lane.attempts().remove(attempt);
    account(attempt, -1);
    if (lane.attempts().isEmpty()) {
      lanes.get(attempt.lane().rank()).remove(lane);
      activeWeight -= lane.leave();
    }
  }

  /** Removes an attempt that was granted, and charges its organisation and its lane. */
  void granted(WaitingAttempt attempt, double cost) {
    int rank = attempt.lane().rank();
    OrganisationLane lane = attempt.organisation().lane(attempt.lane());
    remove(attempt);
    boolean isStillWaiting = lanes.get(rank).remove(lane);
    virtualTime[rank] = Math.max(virtualTime[rank], lane.startTag());
    lane.startTag(lane.startTag() + cost / lane.organisation().weight());
    if (isStillWaiting) {
      lanes.get(rank).add(lane);
    }
    for (int other = 0; other < skipped.length; other++) {
      skipped[other] = other == rank || count[other] == 0 ? 0 : skipped[other] + 1;
    }
  }

  /** The lanes in the order in which they are to be served now. */
  List<Collection<OrganisationLane>> lanesInOrder() {
    List<Collection<OrganisationLane>> ordered = new ArrayList<>(lanes.size());
    for (int lane = lanes.size() - 1; lane >= 0; lane--) {
      if (isSkippedTooOften(lane)) {
        ordered.add(lanes.get(lane));
      }
    }
    for (int lane = 0; lane < lanes.size(); lane++) {
      if (count[lane] > 0 && !isSkippedTooOften(lane)) {
        ordered.add(lanes.get(lane));
      }
    }
    return ordered;
  }

  /** The attempt that time has made due, if there is one. */
  Optional<WaitingAttempt> nextDue(long nowMillis) {
    return due.isEmpty() || due.first().dueAt() > nowMillis
        ? Optional.empty()
        : Optional.of(due.first());
  }

  /** Moves an attempt up by one lane. */
  void promote(WaitingAttempt attempt, long nowMillis, long ageingMillis) {
    remove(attempt);
    attempt.promote(nowMillis, ageingMillis);
    add(attempt);
  }

  private boolean isSkippedTooOften(int lane) {
    return count[lane] > 0 && skipped[lane] >= LARGEST_SKIPPED[lane];
  }

  private void account(WaitingAttempt attempt, int sign) {
    int rank = attempt.lane().rank();
    count[rank] += sign;
    work[rank] += sign * (double) attempt.request().promptTokens();
  }
}
