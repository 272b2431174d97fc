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
 * The queue of one shard: for each class a lane of attempts that need a prefill upstream and one of
 * those that do not, in each lane start-time fair queueing between organisations, in each of these
 * by arrival or deadline.
 *
 * <p>All changes cost the logarithm of what waits; nothing walks the queue.
 */
final class WaitingQueue {

  /** The first of the two lanes of attempts that are late and still wanted. */
  static final int LATE_LANE = 2 * ServiceClass.values().length;

  /** Two for each class, without and with a prefill upstream, and two for what is late. */
  static final int LANES = LATE_LANE + 2;

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
  private static final int[] MAXIMUM_SKIPPED = {
    Integer.MAX_VALUE, 6, 6, 6, 12, 12, 12, 12, Integer.MAX_VALUE, Integer.MAX_VALUE
  };

  /** The same for a lane with attempts that may wait but have hardly any time left to. */
  private static final int MAXIMUM_SKIPPED_NEAR_DEADLINE = 5;

  private final List<TreeSet<OrganisationLane>> lanes = new ArrayList<>();
  private final TreeSet<WaitingAttempt> due = new TreeSet<>(BY_DUE);
  private final double[] virtualTime = new double[LANES];
  private final int[] skipped = new int[LANES];
  private final int[] count = new int[LANES];
  private final int[] nearDeadline = new int[LANES];
  private final double[] waitingPromptTokens = new double[LANES];
  private final DecayingRate[] grantRates = new DecayingRate[LANES];
  private final DecayingRate[] prefillRates = new DecayingRate[LANES];
  private double activeWeight;

  WaitingQueue() {
    for (int lane = 0; lane < LANES; lane++) {
      lanes.add(new TreeSet<>(BY_TAG));
      grantRates[lane] = new DecayingRate();
      prefillRates[lane] = new DecayingRate();
    }
  }

  int size() {
    return due.size();
  }

  /** What waits in one lane, and what the more urgent classes take. */
  WorkAhead workAhead(int lane, long nowMillis) {
    int urgentCount = 0;
    double urgentTokens = 0;
    double urgentGrants = 0;
    double urgentPrefillTokens = 0;
    for (int other = 0; other < lane - lane % 2; other++) {
      urgentCount += count[other];
      urgentTokens += other % 2 * waitingPromptTokens[other];
      urgentGrants += grantRates[other].perMilli(nowMillis);
      urgentPrefillTokens += prefillRates[other].perMilli(nowMillis);
    }
    return new WorkAhead(
        count[lane],
        waitingPromptTokens[lane],
        urgentCount,
        urgentTokens,
        urgentGrants,
        urgentPrefillTokens);
  }

  /** The weights of all organisations that wait in any lane, each lane counted. */
  double activeWeight() {
    return activeWeight;
  }

  void add(WaitingAttempt attempt) {
    int index = attempt.lane();
    OrganisationLane lane = attempt.organisation().lane(index);
    if (lane.attempts().isEmpty()) {
      lane.startTag(Math.max(lane.startTag(), virtualTime[index]));
      lanes.get(index).add(lane);
      activeWeight += lane.join();
    }
    lane.attempts().add(attempt);
    due.add(attempt);
    updateTotals(attempt, 1);
  }

  void remove(WaitingAttempt attempt) {
    int index = attempt.lane();
    OrganisationLane lane = attempt.organisation().lane(index);
    due.remove(attempt);
    lane.attempts().remove(attempt);
    updateTotals(attempt, -1);
    if (lane.attempts().isEmpty()) {
      lanes.get(index).remove(lane);
      activeWeight -= lane.leave();
    }
  }

  /**
   * Removes an attempt that was granted, and charges its organisation and its lane.
   *
   * @param cost between organisations, in tokens
   * @param prefillTokens tokens that a prefill upstream reads for it
   */
  void granted(WaitingAttempt attempt, double cost, double prefillTokens, long nowMillis) {
    int index = attempt.lane();
    OrganisationLane lane = attempt.organisation().lane(index);
    remove(attempt);
    boolean isStillWaiting = lanes.get(index).remove(lane);
    virtualTime[index] = Math.max(virtualTime[index], lane.startTag());
    lane.startTag(lane.startTag() + cost / lane.organisation().weight());
    if (isStillWaiting) {
      lanes.get(index).add(lane);
    }
    grantRates[index].add(1, nowMillis);
    prefillRates[index].add(prefillTokens, nowMillis);
    for (int other = 0; other < LANES; other++) {
      skipped[other] = other == index || count[other] == 0 ? 0 : skipped[other] + 1;
    }
  }

  /** The lanes in the order in which they are to be served now. */
  List<Lane> lanesInOrder() {
    List<Lane> ordered = new ArrayList<>(LANES);
    for (int lane = LANES - 1; lane >= 0; lane--) {
      if (isSkippedTooOften(lane)) {
        ordered.add(new Lane(lane, lanes.get(lane)));
      }
    }
    for (int lane = 0; lane < LANES; lane++) {
      if (count[lane] > 0 && !isSkippedTooOften(lane)) {
        ordered.add(new Lane(lane, lanes.get(lane)));
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

  /** Puts an attempt that missed its target behind all that can still meet theirs. */
  void demote(WaitingAttempt attempt) {
    remove(attempt);
    attempt.demote();
    add(attempt);
  }

  /** Moves an attempt up by one class. */
  void promote(WaitingAttempt attempt, long nowMillis) {
    remove(attempt);
    attempt.promote(nowMillis);
    add(attempt);
  }

  private boolean isSkippedTooOften(int lane) {
    int maximum = nearDeadline[lane] > 0 ? MAXIMUM_SKIPPED_NEAR_DEADLINE : MAXIMUM_SKIPPED[lane];
    return count[lane] > 0 && skipped[lane] >= maximum;
  }

  private void updateTotals(WaitingAttempt attempt, int sign) {
    int lane = attempt.lane();
    count[lane] += sign;
    nearDeadline[lane] += attempt.isNearDeadline() ? sign : 0;
    waitingPromptTokens[lane] += sign * (double) attempt.request().promptTokens();
    attempt.organisation().waitingTokens(sign * attempt.request().countedTokens());
  }

  /**
   * One lane.
   *
   * @param index its number; lower ones are more urgent
   * @param organisations those that wait in it, by their turn
   */
  record Lane(int index, Collection<OrganisationLane> organisations) {

    /** Whether a prefill upstream has to read its prompts. */
    boolean needsPrefillUpstream() {
      return index % 2 == 1;
    }

    /** Whether what would be served next in it waits for a slot or the memory of an engine. */
    boolean isHeadWaitingForSlot(long nowMillis) {
      return organisations.stream()
          .filter(lane -> lane.organisation().missing(nowMillis).isEmpty())
          .findFirst()
          .map(lane -> lane.attempts().first())
          .filter(head -> !head.isRestricted() && head.missing() == MissingResource.DECODE_SLOT)
          .isPresent();
    }
  }

  /**
   * What is served before a new attempt of some lane, and what is left for the lane.
   *
   * @param count attempts in the lane
   * @param tokens prompt tokens in the lane
   * @param urgentCount attempts in lanes of more urgent classes
   * @param urgentTokens their tokens that prefill upstreams have to read
   * @param urgentGrantsPerMilli grants of those lanes of late
   * @param urgentPrefillTokensPerMilli tokens read for those lanes of late
   */
  record WorkAhead(
      int count,
      double tokens,
      int urgentCount,
      double urgentTokens,
      double urgentGrantsPerMilli,
      double urgentPrefillTokensPerMilli) {}
}
