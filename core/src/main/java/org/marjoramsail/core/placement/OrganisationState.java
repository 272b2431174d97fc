package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.placement.OrganisationUsageMessage.Usage;

/**
 * State of one organisation in one shard: its lanes of waiting attempts, its fair queueing tags and
 * its limits.
 */
final class OrganisationState {

  private static final double MINIMUM_DEMAND = 0.1;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double RATE_WINDOW_MILLIS = 10_000;

  /** Demand of an owner without requests, so that its first one finds a part of the rate. */
  private static final double MINIMUM_ASKED_PER_SECOND = 0.01;

  /** Part of a rate that owners may grant in advance if they know nothing of a predecessor. */
  private static final double ADVANCE_SECONDS = 0.75;

  private final String name;
  private final OrganisationLane[] lanes = new OrganisationLane[WaitingQueue.LANES];
  private final SharedRate requests;
  private final SharedRate tokens;
  private final DecayingRate asked = new DecayingRate();

  private double weight = 1;
  private int maximumConcurrency;
  private int concurrencyShare;
  private double requestsPerSecond;
  private double tokensPerSecond;
  private double burst;
  private double fleetShare = 1;
  private boolean isShareProvisional;
  private boolean isCreditUnknown;
  private boolean isFirstCostDrawn;
  private double firstCostRequests;
  private double firstCostTokens;
  private double advancedShare;
  private int running;
  private double waitingTokens;
  private long startedRequests;
  private long startedTokens;
  private long refundedRequests;
  private long refundedTokens;
  private long sentRequests;
  private long sentTokens;
  private double recentRequests;
  private double recentTokens;
  private long recentAt;

  /** Creates the state of an organisation without demand and with its whole credit. */
  OrganisationState(String name) {
    this(name, TokenBucket.full(), TokenBucket.full());
  }

  /**
   * Creates the state of an organisation in a shard that was taken over from another owner.
   *
   * @param credit credit at that time
   * @param takenOverAt when the shard was taken over
   */
  OrganisationState(String name, OrganisationCredit credit, long takenOverAt) {
    this(
        name,
        TokenBucket.startingWith(credit.requests(), takenOverAt),
        TokenBucket.startingWith(credit.tokens(), takenOverAt));
    isCreditUnknown = credit.equals(OrganisationCredit.UNKNOWN);
  }

  private OrganisationState(String name, TokenBucket requests, TokenBucket tokens) {
    this.name = name;
    this.requests = new SharedRate(requests);
    this.tokens = new SharedRate(tokens);
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
    return maximumConcurrency > 0 || hasRate();
  }

  private boolean hasRate() {
    return requestsPerSecond > 0 || tokensPerSecond > 0;
  }

  /** Applies the weight and limits of its definition; an organisation without one has no limits. */
  void define(Optional<OrganisationDefinition> definition) {
    weight = definition.map(OrganisationDefinition::weight).filter(value -> value > 0).orElse(1.0);
    maximumConcurrency = definition.map(OrganisationDefinition::maximumConcurrency).orElse(0);
    requestsPerSecond = definition.map(OrganisationDefinition::requestsPerSecond).orElse(0.0);
    tokensPerSecond = definition.map(OrganisationDefinition::tokensPerSecond).orElse(0.0);
    burst = definition.flatMap(OrganisationDefinition::burst).orElse(0.0);
  }

  /**
   * Sets this shard's share of each limit.
   *
   * <p>The concurrency limit is divided by demand: running and waiting attempts here over those of
   * all shards. Each shard has a small minimum demand, so that the shares add up to at most one
   * where all owners know the same demands. A share is at least one attempt, so that an
   * organisation with a low limit and many shards is still served.
   *
   * <p>Rates are divided only while little credit is left (see {@link SharedRate}): the requests of
   * one organisation may reach a shard seconds apart, and a share by recent demand would refuse the
   * first one after a pause. Each shard holds the rate of all shards and subtracts what {@linkplain
   * #startedElsewhere others} start.
   *
   * @param elsewhere attempts that run or wait in other shards
   * @param newFleetShare share of the rates that this owner may use; zero for none yet
   */
  void share(int elsewhere, int shardCount, double newFleetShare, long nowMillis) {
    double own = demand() + MINIMUM_DEMAND;
    double share = own / (own + elsewhere + (shardCount - 1) * MINIMUM_DEMAND);
    concurrencyShare = Math.max(1, (int) Math.floor(maximumConcurrency * share + 1e-9));
    fleetShare = newFleetShare;
    if (fleetShare > 0) {
      requests.limit(requestsPerSecond * fleetShare, burst * fleetShare);
      tokens.limit(tokensPerSecond * fleetShare, burst * fleetShare);
    }
    advance(nowMillis);
    chargeFirstCost(nowMillis);
  }

  /**
   * Records that an attempt is placed, whether it is granted or not.
   *
   * <p>A request is granted whole once there is any credit. An owner that serves a small share of
   * the fleet would grant the first request of each organisation at once, and many such owners
   * together far more than the limit. So a random part of the first cost is charged in addition,
   * with which the grants of many owners add up to their shares on average.
   */
  void placed(int attemptTokens, RandomGenerator random, long nowMillis) {
    asked.add(Math.max(1, attemptTokens), nowMillis);
    if (isCreditUnknown && isShareProvisional && !isFirstCostDrawn) {
      isFirstCostDrawn = true;
      firstCostRequests = random.nextDouble();
      firstCostTokens = firstCostRequests * attemptTokens;
      chargeFirstCost(nowMillis);
    }
  }

  /** Charges the part of the first cost once there is a rate to charge it to. */
  private void chargeFirstCost(long nowMillis) {
    if (fleetShare > 0) {
      requests.take(firstCostRequests, nowMillis);
      tokens.take(firstCostTokens, nowMillis);
      firstCostRequests = 0;
      firstCostTokens = 0;
    }
  }

  /**
   * Gives an owner that knows nothing of its predecessor an advance on the rates, in proportion to
   * its share; otherwise an organisation below its limit would be refused while the share grows.
   */
  private void advance(long nowMillis) {
    if (isCreditUnknown && isShareProvisional && fleetShare > advancedShare) {
      double seconds = ADVANCE_SECONDS * (fleetShare - advancedShare);
      advancedShare = fleetShare;
      requests.take(-seconds * requestsPerSecond, nowMillis);
      tokens.take(-seconds * tokensPerSecond, nowMillis);
    }
  }

  /** Sets whether the share of the fleet is about to change. */
  void shareProvisional(boolean isProvisional) {
    isShareProvisional = isProvisional;
  }

  /** Returns the credit of its rates. */
  OrganisationCredit credit(long nowMillis) {
    return new OrganisationCredit(requests.credit(nowMillis), tokens.credit(nowMillis));
  }

  /** Returns the number of attempts that run or wait here. */
  int demand() {
    return running + waiting();
  }

  /** Charges what another shard started to the rates, which apply to all shards together. */
  void startedElsewhere(long requestCount, long tokenCount, long nowMillis) {
    takeElsewhere(requests, (double) requestCount, nowMillis);
    takeElsewhere(tokens, (double) tokenCount, nowMillis);
  }

  /** Charges what a newly seen owner has started, limited to one burst. */
  void startedByNewOwner(long requestCount, long tokenCount, long nowMillis) {
    takeElsewhere(requests, Math.min((double) requestCount, requests.burst()), nowMillis);
    takeElsewhere(tokens, Math.min((double) tokenCount, tokens.burst()), nowMillis);
  }

  /**
   * Charges what others have spent. While the share is provisional, this owner earns only a part of
   * the rate but receives the counts of others in full, so their effect is limited.
   */
  private void takeElsewhere(SharedRate rate, double cost, long nowMillis) {
    if (isShareProvisional) {
      rate.takeElsewhereLeavingLimitedDebt(cost, nowMillis);
    } else {
      rate.takeElsewhere(cost, nowMillis);
    }
  }

  /**
   * Returns the rate at which its requests are placed here, granted or not, in tokens a second;
   * requests without tokens count as one.
   */
  double askedPerSecond(long nowMillis) {
    return asked.perMilli(nowMillis) * MILLIS_PER_SECOND;
  }

  /** Sets the rate at which its requests are placed in other shards. */
  void askedElsewhere(double perSecond, long nowMillis) {
    double own = Math.max(MINIMUM_ASKED_PER_SECOND, askedPerSecond(nowMillis));
    double part = own / (own + perSecond);
    requests.part(part, nowMillis);
    tokens.part(part, nowMillis);
  }

  /**
   * Returns whether other shards must be informed of each start soon: half of a rate is used, as
   * far as is known here or if all shards started as much as this one since the last message.
   */
  boolean isNearRateLimit(int shardCount, long nowMillis) {
    return requests.isHalfUsed(nowMillis)
        || tokens.isHalfUsed(nowMillis)
        || (requestsPerSecond > 0
            && 2.0 * shardCount * (startedRequests - sentRequests) >= requests.burst())
        || (tokensPerSecond > 0
            && 2.0 * shardCount * (startedTokens - sentTokens) >= tokens.burst());
  }

  /** Returns its usage for other shards, and records that these are informed of it. */
  Usage takeUsage(long nowMillis) {
    sentRequests = startedRequests;
    sentTokens = startedTokens;
    return new Usage(name, demand(), startedRequests, startedTokens, askedPerSecond(nowMillis));
  }

  /**
   * Adds the tokens of an attempt that begins to wait or, if negative, subtracts those of one that
   * ends waiting.
   */
  void waitingTokens(int change) {
    waitingTokens += change;
  }

  /** Returns the limit that prevents the start of another attempt now. */
  Optional<MissingResource> missing(long nowMillis) {
    if (fleetShare <= 0 && hasRate()) {
      return Optional.of(MissingResource.ORGANISATION_RATE);
    }
    if (maximumConcurrency > 0 && running >= concurrencyShare) {
      return Optional.of(MissingResource.ORGANISATION_CONCURRENCY);
    }
    if (!requests.isOpen(nowMillis) || !tokens.isOpen(nowMillis)) {
      return Optional.of(MissingResource.ORGANISATION_RATE);
    }
    return Optional.empty();
  }

  /**
   * Returns how long the rates delay the start of an attempt, in milliseconds. While the share of
   * the fleet is provisional, the whole rate is assumed: a daemon that has just started would else
   * refuse requests that the owner serves once it is known.
   *
   * @param attempts attempts that wait before it
   * @param attemptTokens tokens that are charged for it and are part of the waiting tokens
   */
  long rateWaitMillis(int attempts, int attemptTokens, long nowMillis) {
    double tokensAhead = Math.max(0, waitingTokens - attemptTokens);
    long waitMillis =
        Math.max(
            requests.waitMillis(attempts, nowMillis), tokens.waitMillis(tokensAhead, nowMillis));
    return isShareProvisional ? (long) (waitMillis * fleetShare) : waitMillis;
  }

  /** Describes the limits here and their unused part, for the message of a refusal. */
  String describeLimits(long nowMillis) {
    return "tokens left "
        + (long) tokens.credit(nowMillis)
        + ", waiting "
        + (long) waitingTokens
        + " of "
        + (long) tokensPerSecond
        + " a second; requests a second "
        + (long) requestsPerSecond
        + ", left "
        + (long) requests.credit(nowMillis)
        + "; share of the fleet "
        + Math.round(100 * fleetShare)
        + "%";
  }

  /**
   * Records an attempt that was granted here; a retry by this program is not charged to the limits.
   */
  void started(PlacementRequest request, long nowMillis) {
    running++;
    decay(nowMillis);
    recentRequests++;
    recentTokens += request.countedTokens();
    if (!request.isRepeat()) {
      countStart(request.countedTokens());
      requests.take(1, nowMillis);
      tokens.take(request.countedTokens(), nowMillis);
    }
  }

  /** Counts a start for other shards, whose counts never fall: a refund offsets later starts. */
  private void countStart(long startTokens) {
    long offsetRequests = Math.min(1, refundedRequests);
    long offsetTokens = Math.min(startTokens, refundedTokens);
    refundedRequests -= offsetRequests;
    refundedTokens -= offsetTokens;
    startedRequests += 1 - offsetRequests;
    startedTokens += startTokens - offsetTokens;
  }

  /** Returns to the rates what {@link #started} charged for an attempt that was never sent. */
  void refund(PlacementRequest request, long nowMillis) {
    if (!request.isRepeat()) {
      refundedRequests++;
      refundedTokens += request.countedTokens();
      requests.giveBack(1, nowMillis);
      tokens.giveBack(request.countedTokens(), nowMillis);
    }
  }

  /** Records an attempt that another owner started and charged to the rates. */
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

  /** Attempts of one organisation in one lane, in order of service. */
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

    /**
     * Stores and returns the organisation's weight for the time in which the lane is not empty, so
     * that {@link #leave} returns the same weight after a change of the definition.
     */
    double join() {
      joinedWeight = organisation.weight();
      return joinedWeight;
    }

    /** Returns the weight that {@link #join} stored. */
    double leave() {
      return joinedWeight;
    }

    /** Returns the virtual start time of its next attempt, in tokens over weight. */
    double startTag() {
      return startTag;
    }

    void startTag(double tag) {
      startTag = tag;
    }
  }
}
