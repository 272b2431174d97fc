package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.marjoramsail.core.configuration.OrganisationDefinition;

/**
 * One organisation in one shard: its lanes of waiting attempts, its tag for fairness, its limits.
 */
final class OrganisationState {

  private static final double MINIMUM_DEMAND = 0.1;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double RATE_WINDOW_MILLIS = 10_000;

  private final String name;
  private final OrganisationLane[] lanes = new OrganisationLane[WaitingQueue.LANES];
  private final TokenBucket requests;
  private final TokenBucket tokens;

  private double weight = 1;
  private int maximumConcurrency;
  private int concurrencyShare;
  private double requestsPerSecond;
  private double tokensPerSecond;
  private double burst;
  private int running;
  private double waitingTokens;
  private long startedRequests;
  private long startedTokens;
  private double recentRequests;
  private double recentTokens;
  private long recentAt;

  /**
   * Creates one without demand.
   *
   * @param takenOverAt when its shard was taken over from another owner; see {@link TokenBucket}
   */
  OrganisationState(String name, Optional<Long> takenOverAt) {
    this.name = name;
    this.requests = takenOverAt.map(TokenBucket::emptyAt).orElseGet(TokenBucket::full);
    this.tokens = takenOverAt.map(TokenBucket::emptyAt).orElseGet(TokenBucket::full);
    for (int lane = 0; lane < WaitingQueue.LANES; lane++) {
      lanes[lane] = new OrganisationLane(this);
    }
  }

  String name() {
    return name;
  }

  OrganisationLane lane(int lane) {
    return lanes[lane];
  }

  double weight() {
    return weight;
  }

  int running() {
    return running;
  }

  int waiting() {
    int sum = 0;
    for (OrganisationLane lane : lanes) {
      sum += lane.attempts().size();
    }
    return sum;
  }

  boolean isIdle() {
    return running == 0 && waiting() == 0;
  }

  boolean isLimited() {
    return maximumConcurrency > 0 || requestsPerSecond > 0 || tokensPerSecond > 0;
  }

  /** Handles the limits of its definition; an organisation without one has none. */
  void define(Optional<OrganisationDefinition> definition) {
    weight = definition.map(OrganisationDefinition::weight).filter(value -> value > 0).orElse(1.0);
    maximumConcurrency = definition.map(OrganisationDefinition::maximumConcurrency).orElse(0);
    requestsPerSecond = definition.map(OrganisationDefinition::requestsPerSecond).orElse(0.0);
    tokensPerSecond = definition.map(OrganisationDefinition::tokensPerSecond).orElse(0.0);
    burst = definition.flatMap(OrganisationDefinition::burst).orElse(0.0);
  }

  /**
   * Sets what this shard may use of each limit.
   *
   * <p>Of concurrency it has a share by demand: what it has running over that of all shards. Each
   * shard counts for a little without demand, so that shares add up to at most one where all know
   * the same demands. A share is at least one, else an organisation with a low limit and many
   * shards would never run.
   *
   * <p>Rates are not divided: requests of one organisation come to a shard seconds apart, and a
   * shard that has had none for a while would refuse the first of the next ones. Each shard holds
   * the whole rate and takes off what {@linkplain #startedElsewhere others} start.
   *
   * @param elsewhere attempts that run or wait in other shards
   * @param fleetShare which part of a rate the daemons may spend that see each other
   */
  void share(int elsewhere, int shardCount, double fleetShare) {
    double own = demand() + MINIMUM_DEMAND;
    double share = own / (own + elsewhere + (shardCount - 1) * MINIMUM_DEMAND);
    concurrencyShare = Math.max(1, (int) Math.floor(maximumConcurrency * share + 1e-9));
    requests.limit(requestsPerSecond * fleetShare, burst * fleetShare);
    tokens.limit(tokensPerSecond * fleetShare, burst * fleetShare);
  }

  /** Attempts that run or wait here. */
  int demand() {
    return running + waiting();
  }

  /** Counts what another shard started against the rates that both hold. */
  void startedElsewhere(long requestCount, long tokenCount, long nowMillis) {
    requests.take((double) requestCount, nowMillis);
    tokens.take((double) tokenCount, nowMillis);
  }

  /** Counts what an owner has started that was not heard of before, at most a burst of it. */
  void startedByNewOwner(long requestCount, long tokenCount, long nowMillis) {
    requests.take(Math.min((double) requestCount, requests.burst()), nowMillis);
    tokens.take(Math.min((double) tokenCount, tokens.burst()), nowMillis);
  }

  /** Requests that were started here since this owner began. */
  long startedRequests() {
    return startedRequests;
  }

  /** What these counted for in tokens. */
  long startedTokens() {
    return startedTokens;
  }

  /** Whether so much of a rate is used that other shards have to hear of each start soon. */
  boolean isNearRateLimit(long nowMillis) {
    return requests.isHalfUsed(nowMillis) || tokens.isHalfUsed(nowMillis);
  }

  /** Counts an attempt that begins or, with a negative number, ceases to wait. */
  void waitingTokens(int change) {
    waitingTokens += change;
  }

  /** What keeps it from starting one more attempt now. */
  Optional<MissingResource> missing(long nowMillis) {
    if (maximumConcurrency > 0 && running >= concurrencyShare) {
      return Optional.of(MissingResource.ORGANISATION_CONCURRENCY);
    }
    if (!requests.isOpen(nowMillis) || !tokens.isOpen(nowMillis)) {
      return Optional.of(MissingResource.ORGANISATION_RATE);
    }
    return Optional.empty();
  }

  /**
   * How long its rates keep an attempt from starting.
   *
   * @param attempts how many wait before it
   * @param attemptTokens what it counts for itself, which is among what waits
   */
  long rateWaitMillis(int attempts, int attemptTokens, long nowMillis) {
    double tokensAhead = Math.max(0, waitingTokens - attemptTokens);
    return Math.max(
        requests.waitMillis(attempts, nowMillis), tokens.waitMillis(tokensAhead, nowMillis));
  }

  /** Its limits here and what is left of them, for a refusal that has to be explained. */
  String describeLimits(long nowMillis) {
    return "tokens left "
        + (long) tokens.credit(nowMillis)
        + ", waiting "
        + (long) waitingTokens
        + " of "
        + (long) tokensPerSecond
        + " a second; requests a second "
        + (long) requestsPerSecond;
  }

  /**
   * Counts an attempt that was granted here; what this program repeats costs its limits nothing.
   */
  void started(PlacementRequest request, long nowMillis) {
    running++;
    decay(nowMillis);
    recentRequests++;
    recentTokens += request.countedTokens();
    if (!request.isRepeat()) {
      startedRequests++;
      startedTokens += request.countedTokens();
      requests.take(1, nowMillis);
      tokens.take(request.countedTokens(), nowMillis);
    }
  }

  /** Counts an attempt that another owner started: its rates were charged there. */
  void restored() {
    running++;
  }

  void ended() {
    running--;
  }

  ShardView.OrganisationView view(long nowMillis) {
    decay(nowMillis);
    double perSecond = MILLIS_PER_SECOND / RATE_WINDOW_MILLIS;
    return new ShardView.OrganisationView(
        name, running, waiting(), recentRequests * perSecond, recentTokens * perSecond);
  }

  private void decay(long nowMillis) {
    double decayFactor = Math.exp(-Math.max(0, nowMillis - recentAt) / RATE_WINDOW_MILLIS);
    recentRequests *= decayFactor;
    recentTokens *= decayFactor;
    recentAt = nowMillis;
  }

  /** The attempts of one organisation in one lane, in their order of service. */
  static final class OrganisationLane {

    private final OrganisationState organisation;
    private final SortedSet<WaitingAttempt> attempts = new TreeSet<>(WaitingQueue.BY_ORDER);
    private double startTag;
    private double joinedWeight;

    OrganisationLane(OrganisationState organisation) {
      this.organisation = organisation;
    }

    OrganisationState organisation() {
      return organisation;
    }

    SortedSet<WaitingAttempt> attempts() {
      return attempts;
    }

    /** Begins to wait; gives the weight with which it does, whatever the definition says later. */
    double join() {
      joinedWeight = organisation.weight();
      return joinedWeight;
    }

    /** Ends to wait; gives the weight with which it began. */
    double leave() {
      return joinedWeight;
    }

    /** Virtual time at which its next attempt starts, in tokens over weight. */
    double startTag() {
      return startTag;
    }

    void startTag(double tag) {
      startTag = tag;
    }
  }
}
