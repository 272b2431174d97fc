package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.marjoramsail.core.configuration.OrganisationDefinition;

/**
 * One organisation in one shard: its lanes of waiting attempts, its tag for fairness, its limits.
 */
final class OrganisationState {

  private static final double DEMAND_FLOOR = 0.1;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double RATE_WINDOW_MILLIS = 10_000;

  private final String name;
  private final OrganisationLane[] lanes = new OrganisationLane[WaitingQueue.LANES];
  private final TokenBucket requests = new TokenBucket();
  private final TokenBucket tokens = new TokenBucket();

  private double weight = 1;
  private int maximumConcurrency;
  private int concurrencyShare;
  private double requestsPerSecond;
  private double tokensPerSecond;
  private int running;
  private double recentRequests;
  private double recentTokens;
  private long recentAt;

  OrganisationState(String name) {
    this.name = name;
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
  }

  /**
   * Takes this shard's share of each limit: its demand over that of all shards.
   *
   * <p>Each shard counts for a little without demand, so that shares add up to at most one where
   * all know the same demands. A share of concurrency is at least one, else an organisation with a
   * low limit and many shards would never run.
   */
  void share(int otherDemand, int shardCount) {
    double own = running + waiting() + DEMAND_FLOOR;
    double share = own / (own + otherDemand + (shardCount - 1) * DEMAND_FLOOR);
    concurrencyShare = Math.max(1, (int) Math.floor(maximumConcurrency * share + 1e-9));
    requests.rate(requestsPerSecond * share);
    tokens.rate(tokensPerSecond * share);
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

  /** How long its rates keep it from starting that many attempts more. */
  long rateWaitMillis(int attempts, long nowMillis) {
    long wait = Math.max(requests.waitMillis(nowMillis), tokens.waitMillis(nowMillis));
    double queued = requestsPerSecond > 0 ? attempts / requestsPerSecond * MILLIS_PER_SECOND : 0;
    return wait + (long) queued;
  }

  void started(int tokenCount, long nowMillis) {
    running++;
    requests.take(1, nowMillis);
    tokens.take(tokenCount, nowMillis);
    decay(nowMillis);
    recentRequests++;
    recentTokens += tokenCount;
  }

  /** Counts an attempt that another owner started: its rates were charged there. */
  void adopted() {
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
    double kept = Math.exp(-Math.max(0, nowMillis - recentAt) / RATE_WINDOW_MILLIS);
    recentRequests *= kept;
    recentTokens *= kept;
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
