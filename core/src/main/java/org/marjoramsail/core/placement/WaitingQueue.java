package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.placement.OrganisationState.OrganisationLane;
import org.marjoramsail.core.routing.UrgencyRanks;

/**
 * Queue of one shard with two lanes for each class: one for attempts that need a prefill upstream
 * and one for the others. Two more lanes, which are served first, are for attempts that continue an
 * output and can only be served by upstreams of its software version. Each lane uses start-time
 * fair queueing between organisations; the attempts of one organisation are ordered by arrival or
 * deadline.
 *
 * <p>{@link ServiceClass#TIMELY} attempts have lanes of their own for each urgency rank: two for
 * attempts that can meet their target, then two for late ones. Late attempts of a rank are
 * therefore served before all attempts of less urgent ranks.
 *
 * <p>Each change takes logarithmic time; no operation iterates over all waiting attempts.
 */
final class WaitingQueue {

  /** Index of the first of the two lanes for attempts that continue an output. */
  static final int CONTINUATION_LANE = 0;

  /** Index of the first of the two lanes of the most urgent class. */
  static final int FIRST_CLASS_LANE = CONTINUATION_LANE + 2;

  /** Index of the first lane of the most urgent rank. */
  static final int FIRST_RANK_LANE = FIRST_CLASS_LANE + 2 * ServiceClass.TIMELY.rank();

  /** Number of lanes of one urgency rank within the target, and for missed targets. */
  static final int LANES_OF_RANK = 2;

  /** Number of urgency ranks. */
  static final int RANKS = UrgencyRanks.LOWEST + 1;

  /** Index of the first lane for attempts that have missed their target. */
  static final int FIRST_LATE_LANE = FIRST_RANK_LANE + RANKS * LANES_OF_RANK;

  /** Number of lanes: two for each other class and for continuations, and those of the ranks. */
  static final int LANES = FIRST_LATE_LANE + RANKS * LANES_OF_RANK;

  /** Order of service within one lane of one organisation. */
  static final Comparator<WaitingAttempt> BY_ORDER =
      Comparator.comparingLong(WaitingAttempt::orderKey)
          .thenComparingLong(WaitingAttempt::sequence);

  private static final Comparator<WaitingAttempt> BY_DUE =
      Comparator.comparingLong(WaitingAttempt::dueAt).thenComparingLong(WaitingAttempt::sequence);

  private static final Comparator<OrganisationLane> BY_TAG =
      Comparator.<OrganisationLane>comparingDouble(OrganisationLane::startTag)
          .thenComparing(lane -> lane.organisation().name());

  /** Number of grants to other lanes after which a non-empty lane of a class goes first. */
  private static final int[] MAXIMUM_SKIPPED = {
    Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE, 6, 6, 6, 12, 12
  };

  /** The same limit for the lane of a rank within the target; late lanes have none. */
  private static final int MAXIMUM_SKIPPED_OF_RANK = 12;

  /** The same limit for a lane with deferrable attempts whose deadline is near. */
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
  private final Map<SoftwareVersion, Integer> continuations = new HashMap<>();

  /** Weights of all lanes, then for each rank those of its lanes and of the classes. */
  private final double[] activeWeight = new double[1 + RANKS];

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

  /** Returns the attempts in one lane and the load of the more urgent classes and ranks. */
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

  /** Returns the software versions that continuations wait for. */
  Set<SoftwareVersion> awaitedVersions() {
    return continuations.keySet();
  }

  /**
   * Returns the sum of the weights of the waiting organisations, counted once for each lane; for a
   * lane of an urgency rank without the lanes of other ranks.
   */
  double activeWeight(int lane) {
    return activeWeight[1 + Math.max(-1, rankOf(lane))];
  }

  /** Returns the urgency rank of a lane; negative for a lane that is served before all ranks. */
  static int rankOf(int lane) {
    int first = isLate(lane) ? FIRST_LATE_LANE : FIRST_RANK_LANE;
    return Math.floorDiv(lane - first, LANES_OF_RANK);
  }

  private static boolean isLate(int lane) {
    return lane >= FIRST_LATE_LANE;
  }

  private void addActiveWeight(int lane, double weight) {
    int rank = rankOf(lane);
    activeWeight[0] += weight;
    for (int other = 0; other < RANKS; other++) {
      activeWeight[1 + other] += rank < 0 || rank == other ? weight : 0;
    }
  }

  void add(WaitingAttempt attempt) {
    int index = attempt.lane();
    OrganisationLane lane = attempt.organisation().lane(index);
    if (lane.attempts().isEmpty()) {
      lane.startTag(Math.max(lane.startTag(), virtualTime[index]));
      lanes.get(index).add(lane);
      addActiveWeight(index, lane.join());
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
      addActiveWeight(index, -lane.leave());
    }
  }

  /**
   * Removes a granted attempt and charges its organisation and its lane.
   *
   * @param cost cost for the fair queueing between organisations, in tokens
   * @param prefillTokens tokens that a prefill upstream prefills for it
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

  /** Returns the non-empty lanes in the order in which they are to be served now. */
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

  /** Returns whether a less urgent attempt waits that can still meet its target. */
  boolean isLessUrgentWaiting(int rank) {
    for (int lane = FIRST_RANK_LANE + (rank + 1) * LANES_OF_RANK; lane < FIRST_LATE_LANE; lane++) {
      if (count[lane] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the earliest attempt that is due, if there is one. */
  Optional<WaitingAttempt> nextDue(long nowMillis) {
    return due.isEmpty() || due.first().dueAt() > nowMillis
        ? Optional.empty()
        : Optional.of(due.first());
  }

  /** Moves an attempt that missed its target behind all that can still meet theirs. */
  void demote(WaitingAttempt attempt) {
    remove(attempt);
    attempt.demote();
    add(attempt);
  }

  /** Promotes an attempt; see {@link WaitingAttempt#promote}. */
  void promote(WaitingAttempt attempt, long nowMillis) {
    remove(attempt);
    attempt.promote(nowMillis);
    add(attempt);
  }

  private boolean isSkippedTooOften(int lane) {
    int maximum = nearDeadline[lane] > 0 ? MAXIMUM_SKIPPED_NEAR_DEADLINE : maximumSkipped(lane);
    return count[lane] > 0 && skipped[lane] >= maximum;
  }

  private int maximumSkipped(int lane) {
    if (lane < FIRST_RANK_LANE) {
      return MAXIMUM_SKIPPED[lane];
    }
    return isLate(lane) && !isLessUrgentWaiting(rankOf(lane))
        ? Integer.MAX_VALUE
        : MAXIMUM_SKIPPED_OF_RANK;
  }

  /** Returns a sum, or null for zero, which removes the entry of a map. */
  private static Integer sumOrNone(Integer first, Integer second) {
    int sum = first + second;
    return sum == 0 ? null : sum;
  }

  private void updateTotals(WaitingAttempt attempt, int sign) {
    int lane = attempt.lane();
    count[lane] += sign;
    nearDeadline[lane] += attempt.isNearDeadline() ? sign : 0;
    waitingPromptTokens[lane] += sign * (double) attempt.request().promptTokens();
    attempt
        .request()
        .requiredVersion()
        .ifPresent(version -> continuations.merge(version, sign, WaitingQueue::sumOrNone));
    attempt.organisation().waitingTokens(sign * attempt.request().countedTokens());
  }

  /**
   * Lane of the queue.
   *
   * @param index number of the lane; lower ones are more urgent
   * @param organisations organisations with waiting attempts, in order of service
   */
  record Lane(int index, Collection<OrganisationLane> organisations) {

    /** Returns whether its prompts need a prefill upstream. */
    boolean needsPrefillUpstream() {
      return index % 2 == 1;
    }

    /** Returns whether it has attempts of an urgency rank that can still meet their target. */
    boolean isRankedWithinTarget() {
      return urgency() >= 0 && !isLate(index);
    }

    /** Returns its urgency rank; negative for a lane that is served before all ranks. */
    int urgency() {
      return rankOf(index);
    }

    /**
     * Returns whether another lane waits while the next attempt of this one lacks a slot: the later
     * lanes of its rank and all late lanes or, for a lane that is served before all ranks, all
     * later lanes.
     */
    boolean blocks(int other) {
      return other > index
          && (urgency() < 0 || isLate(other) || (!isLate(index) && rankOf(other) == urgency()));
    }

    /** Returns its first attempts, except those of organisations at their limits. */
    List<WaitingAttempt> first(int maximum, long nowMillis) {
      return organisations.stream()
          .filter(lane -> lane.organisation().missing(nowMillis).isEmpty())
          .flatMap(lane -> lane.attempts().stream())
          .limit(maximum)
          .toList();
    }

    /** Returns whether its next attempt waits for a slot or the memory of an engine. */
    boolean isHeadWaitingForSlot(long nowMillis) {
      return organisations.stream()
          .filter(lane -> lane.organisation().missing(nowMillis).isEmpty())
          .findFirst()
          .map(lane -> lane.attempts().first())
          .filter(head -> !head.isRestricted() && head.missing().isFreedByGenerations())
          .isPresent();
    }
  }

  /**
   * Load that is served before a new attempt of a lane.
   *
   * @param count attempts in the lane
   * @param tokens prompt tokens in the lane
   * @param urgentCount attempts in lanes that are served before it
   * @param urgentTokens prompt tokens of those attempts that prefill upstreams have to prefill
   * @param urgentGrantsPerMilli recent rate of grants to those lanes
   * @param urgentPrefillTokensPerMilli recent rate of tokens prefilled for those lanes
   */
  record WorkAhead(
      int count,
      double tokens,
      int urgentCount,
      double urgentTokens,
      double urgentGrantsPerMilli,
      double urgentPrefillTokensPerMilli) {}
}
