package org.marjoramsail.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** What the owner of a shard knows of one upstream: slots, queues, estimates and health. */
final class UpstreamState {

  private static final long REFUSAL_PAUSE_MILLIS = 2_000;

  /** An upstream that was full when this owner thought otherwise is left alone that long. */
  private static final long FULL_PAUSE_MILLIS = 60;

  private static final long REPORT_STALE_MILLIS = 10_000;
  private static final int REMEMBERED_ENDS = 256;
  private static final int SHORT_PROMPT_TOKENS = 512;
  private static final int UNKNOWN_MEMORY = 0;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlacementSettings settings;
  private final PrefixIndex prefixes = new PrefixIndex();
  private final MemoryForecast memoryForecast;
  private final PrefillRate prefillRate;
  private final PlainOccupancy occupancy;
  private final MovingAverage dedicatedMillisPerToken;
  private final MovingAverage localMillisPerToken;
  private final MovingAverage overheadMillis;
  private final RecentLocalPrefills recentLocalPrefills = new RecentLocalPrefills();
  private final ProgressWatchdog progressWatchdog = new ProgressWatchdog();
  private final Deque<Long> recentEnds = new ArrayDeque<>();

  private EjectionState ejection;
  private UpstreamRateLimit limit = new UpstreamRateLimit();
  private UpstreamDefinition definition;
  private UpstreamRole role;
  private boolean configured = true;
  private boolean listedUnavailable;
  private boolean reportedLeaving;
  private boolean announcedLeaving;
  private long refusedUntil = NEVER;

  private int reserved;
  private int reservedTokens;
  private int suspects;
  private int otherOwnersRequests;
  private int reportedSlots;
  private int reportedRunning;
  private long reportedAt = NEVER;
  private long incarnation = NEVER;

  private long queuedTokens;
  private long otherOwnersTokens;
  private double busyUntil;
  private long prefillEndedAt = NEVER;
  private long linkBytes;

  /**
   * Starts with nothing on it.
   *
   * @param outputLengths how far answers of its shard lie from what was foretold
   * @param prefillRate how fast prefill upstreams of its shard read
   * @param occupancy how long plain requests of its shard hold their slots
   */
  UpstreamState(
      UpstreamDefinition definition,
      PlacementSettings settings,
      OutputLengthDistribution outputLengths,
      PrefillRate prefillRate,
      PlainOccupancy occupancy) {
    this.prefillRate = prefillRate;
    this.occupancy = occupancy;
    this.memoryForecast = new MemoryForecast(outputLengths);
    this.definition = definition;
    this.role = definition.role();
    this.settings = settings;
    this.dedicatedMillisPerToken = new MovingAverage(1 / settings.prefillTokensPerMilli());
    this.localMillisPerToken =
        new MovingAverage(settings.localPrefillSlowdown() / settings.prefillTokensPerMilli());
    this.overheadMillis = new MovingAverage(settings.prefillOverheadMillis());
    this.ejection = new EjectionState(settings);
  }

  UpstreamName name() {
    return definition.name();
  }

  UpstreamRole role() {
    return role;
  }

  String availabilityZone() {
    return definition.availabilityZone();
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  /** The requests that wait for their first sign here. */
  ProgressWatchdog progressWatchdog() {
    return progressWatchdog;
  }

  EjectionState ejection() {
    return ejection;
  }

  int reserved() {
    return reserved;
  }

  int reportedRunning() {
    return reportedRunning;
  }

  long queuedTokens() {
    return queuedTokens;
  }

  boolean isConfigured() {
    return configured;
  }

  /**
   * Handles a newer definition; a changed role in it counts until the engine reports its own.
   *
   * @return whether it is of a later life of the upstream
   */
  boolean define(UpstreamDefinition newer, long nowMillis) {
    boolean restarted = newer.incarnation().supersedes(definition.incarnation());
    if (newer.role() != definition.role() || restarted) {
      role = newer.role();
    }
    definition = newer;
    configured = true;
    if (restarted) {
      resetForNextIncarnation(nowMillis);
    }
    return restarted;
  }

  /** What was seen of a life that is over says nothing of the next: it begins with nothing. */
  private void resetForNextIncarnation(long nowMillis) {
    prefixes.clear();
    busyUntil = nowMillis;
    refusedUntil = NEVER;
    reportedLeaving = false;
    announcedLeaving = false;
    limit = limit.forNextIncarnation();
    otherOwnersRequests = 0;
    otherOwnersTokens = 0;
    ejection = new EjectionState(settings);
    ejection.startSlowly(nowMillis);
  }

  /** How many requests a second it said that it takes, and how many it may get now. */
  UpstreamRateLimit limit() {
    return limit;
  }

  /**
   * Handles what it said of itself to a host.
   *
   * @return whether something is believed of it now that was not
   */
  boolean acceptFeedback(RelayedFeedback feedback, long nowMillis) {
    if (definition.incarnation().isOtherThan(feedback.startedAtMillis())) {
      return false;
    }
    boolean isNew = feedback.leaving() && !announcedLeaving;
    announcedLeaving |= feedback.leaving();
    long statedAt = nowMillis - feedback.ageMillis();
    isNew |=
        feedback
            .requestsPerSecond()
            .filter(perSecond -> limit.limitReceived(perSecond, statedAt, nowMillis))
            .isPresent();
    return isNew;
  }

  /** The configuration no longer has it; it is forgotten once nothing runs on it. */
  void undefine() {
    configured = false;
  }

  void setListedAvailable(boolean available, long nowMillis) {
    if (available && listedUnavailable) {
      ejection.startSlowly(nowMillis);
    }
    listedUnavailable = !available;
  }

  /** The upstream itself refused new work: it gets none until reports had time to say why. */
  void refused(long nowMillis) {
    refusedUntil = nowMillis + REFUSAL_PAUSE_MILLIS;
  }

  /** Whether it said itself that it leaves, which ends with its life alone. */
  boolean isAnnouncedLeaving() {
    return announcedLeaving;
  }

  /** Whether it takes no new work, however that was learned. */
  boolean isLeaving() {
    return definition.drained() || reportedLeaving || announcedLeaving;
  }

  boolean isUsable(long nowMillis) {
    return configured
        && !isLeaving()
        && !listedUnavailable
        && nowMillis >= refusedUntil
        && !ejection.isEjected(nowMillis);
  }

  /** Whether it takes work and its last answer was a good one. */
  boolean isServingSince(long sinceMillis, long nowMillis) {
    return isUsable(nowMillis) && ejection.isServingSince(sinceMillis);
  }

  /** The upstream had no room: others use it too, or it held more than was known here. */
  void refusedAsFull(long nowMillis) {
    refusedUntil = Math.max(refusedUntil, nowMillis + FULL_PAUSE_MILLIS);
  }

  /** Whether a request fits into the memory beside all others, to their ends; true if unknown. */
  boolean hasMemoryFor(PlacementRequest request, long nowMillis, double millisPerToken) {
    int memory = definition.memoryTokens().orElse(UNKNOWN_MEMORY);
    return memory == UNKNOWN_MEMORY
        || memoryForecast.peakTokensWith(
                request.promptTokens(), request.outputTokens(), nowMillis, millisPerToken)
            <= memory;
  }

  /** Takes memory for a request from its grant to its end. */
  void reserveMemory(PlacementRequest request) {
    reservedTokens += request.memoryTokens();
    memoryForecast.add(request.request(), request.promptTokens(), request.outputTokens());
  }

  /** Records that a request has begun to grow. */
  void generationStarted(PlacementRequest request, long nowMillis) {
    memoryForecast.generationStarted(request.request(), nowMillis);
  }

  /** Gives memory back. */
  void releaseMemory(PlacementRequest request) {
    reservedTokens -= request.memoryTokens();
    memoryForecast.remove(request.request());
  }

  /** How many requests of a size it holds at once, by its slots and its memory. */
  int slotsFor(double tokens) {
    int memory = definition.memoryTokens().orElse(UNKNOWN_MEMORY);
    if (memory == UNKNOWN_MEMORY || tokens <= 0) {
      return slots();
    }
    return Math.max(1, (int) Math.min(slots(), memory / tokens));
  }

  /** The state in one word for operators. */
  String stateCode(long nowMillis) {
    if (!configured || definition.drained()) {
      return "drained";
    }
    if (isLeaving() || nowMillis < refusedUntil) {
      return "leaving";
    }
    if (listedUnavailable) {
      return "unreachable";
    }
    if (ejection.isEjected(nowMillis)) {
      return "ejected";
    }
    if (limit.perSecond().isPresent()) {
      return "limited";
    }
    return ejection.share(nowMillis) < 1 ? "slow-start" : "available";
  }

  /**
   * How many requests of a size it ends in a millisecond at most.
   *
   * @param holdMillis how long one holds a slot
   */
  double requestsPerMilli(double tokens, double holdMillis) {
    return Math.min(slotsFor(tokens) / holdMillis, limit.perMilli());
  }

  /** How many requests it holds at most; an engine may say less than its definition. */
  int slots() {
    int configuredSlots = definition.slots();
    int reportedOrConfigured = reportedSlots > 0 ? Math.min(configuredSlots, reportedSlots) : configuredSlots;
    return role == UpstreamRole.PLAIN ? (int) (reportedOrConfigured * occupancy.factor()) : reportedOrConfigured;
  }

  /** Slots that this owner may still reserve now; never negative. */
  int freeSlots(long nowMillis) {
    if (!limit.isOpen(nowMillis)) {
      return 0;
    }
    int allowed = slots();
    double share = ejection.share(nowMillis);
    if (share < 1) {
      allowed = Math.max(1, (int) (allowed * share));
    }
    return Math.max(0, allowed - reserved - otherOwnersRequests(nowMillis));
  }

  double utilisation(long nowMillis) {
    double bySlots = (reserved + otherOwnersRequests(nowMillis)) / (double) Math.max(1, slots());
    int memory = definition.memoryTokens().orElse(UNKNOWN_MEMORY);
    return memory == UNKNOWN_MEMORY ? bySlots : Math.max(bySlots, reservedTokens / (double) memory);
  }

  boolean hasReportedSince(long sinceMillis) {
    return reportedAt >= sinceMillis;
  }

  boolean holdsSuspect() {
    return suspects > 0;
  }

  /** Reserves a slot for a request that will be sent to it. */
  void reserve(boolean alone, long nowMillis) {
    limit.granted(nowMillis);
    reserveSlot(alone);
  }

  private void reserveSlot(boolean alone) {
    reserved++;
    suspects += alone ? 1 : 0;
  }

  void release(boolean alone, long nowMillis) {
    reserved--;
    suspects -= alone ? 1 : 0;
    if (reserved < 0 || suspects < 0) {
      throw new IllegalStateException("More slots released than reserved on " + name() + ".");
    }
    recentEnds.addLast(nowMillis);
    if (recentEnds.size() > REMEMBERED_ENDS) {
      recentEnds.removeFirst();
    }
  }

  /**
   * Another owner's attempt became ours: it was part of the reported load until now.
   *
   * <p>Without this it would count twice until the next report and hold back grants.
   */
  void adopt(boolean alone) {
    reserveSlot(alone);
    otherOwnersRequests = Math.max(0, otherOwnersRequests - 1);
  }

  /**
   * Handles a load report.
   *
   * <p>A report is late: attempts that ended since it was made may still be in it, and attempts
   * granted since are not. Were it taken at its word, a slot would be freed while it is in use, and
   * the engine would get more than it holds. So it only ever adds load: what it shows beyond all of
   * ours that it can have counted belongs to others.
   */
  void report(LoadReport report, long nowMillis) {
    if (report.incarnation() < incarnation) {
      return;
    }
    if (report.incarnation() > incarnation && incarnation != NEVER) {
      prefixes.clear();
      busyUntil = nowMillis;
      ejection.startSlowly(nowMillis);
    }
    incarnation = report.incarnation();
    long countedSince = nowMillis - report.ageMillis() - settings.reportLagMillis();
    while (!recentEnds.isEmpty() && recentEnds.peekFirst() < countedSince) {
      recentEnds.removeFirst();
    }
    reportedRunning = report.running();
    int others = report.running() + report.waiting() - reserved - recentEnds.size();
    otherOwnersRequests = Math.max(0, others);
    otherOwnersTokens = Math.max(0, report.queuedPrefillTokens() - queuedTokens);
    reportedSlots = report.slots();
    role = report.role();
    reportedLeaving = report.leaving();
    reportedAt = nowMillis;
  }

  /** When it would have read all it was given and that many tokens more. */
  double prefillEnd(int tokens, long nowMillis) {
    return nowMillis + queueMillis(nowMillis) + prefillMillis(tokens);
  }

  double prefillMillis(int tokens) {
    return overheadMillis.value() + tokens * millisPerToken();
  }

  /** How long a token of a prompt takes in the present role: beside answers, or alone. */
  private double millisPerToken() {
    MovingAverage observed = observedMillisPerToken();
    if (observed.hasObservations()) {
      return observed.value();
    }
    return role == UpstreamRole.DECODE ? prefillRate.localMillisPerToken() : prefillRate.dedicatedMillisPerToken();
  }

  private MovingAverage observedMillisPerToken() {
    return role == UpstreamRole.DECODE ? localMillisPerToken : dedicatedMillisPerToken;
  }

  double prefillTokensPerMilli() {
    return 1 / millisPerToken();
  }

  double queueMillis(long nowMillis) {
    double others = otherOwnersTokens * millisPerToken() - (double) (nowMillis - reportedAt);
    return Math.max(0, busyUntil - nowMillis) + Math.max(0, others);
  }

  void startPrefill(int tokens, long nowMillis) {
    busyUntil = Math.max((double) nowMillis, busyUntil) + prefillMillis(tokens);
    queuedTokens += tokens;
  }

  /** A prefill ended, read or not: what is still queued tells when the upstream is free. */
  void endPrefill(int tokens, long nowMillis) {
    if (role == UpstreamRole.DECODE) {
      recentLocalPrefills.add(prefillMillis(tokens), nowMillis);
    }
    prefillEndedAt = nowMillis;
    queuedTokens -= tokens;
    busyUntil = nowMillis + queuedTokens * millisPerToken();
  }

  /**
   * Learns from a prefill that has just ended.
   *
   * @param tookMillis from its send; what went by before the prefill ahead of it ended was spent on
   *     that one, else readers look slower the busier they are
   */
  void learnPrefill(int tokens, long tookMillis, long nowMillis) {
    learnPrefill(tokens, (double) Math.max(1, Math.min(tookMillis, nowMillis - prefillEndedAt)));
  }

  private void learnPrefill(int tokens, double tookMillis) {
    if (tokens >= SHORT_PROMPT_TOKENS) {
      double perToken = (tookMillis - overheadMillis.value()) / tokens;
      observedMillisPerToken().observe(perToken);
      if (role == UpstreamRole.PREFILL) {
        prefillRate.learn(perToken);
      }
    } else {
      overheadMillis.observe(tookMillis - tokens * millisPerToken());
    }
  }

  /** The prompts that it has read beside answers. */
  RecentLocalPrefills recentLocalPrefills() {
    return recentLocalPrefills;
  }

  /** Whether it has ended reading a prompt less than that long ago. */
  boolean hasPrefilledWithin(double millis, long nowMillis) {
    return nowMillis - prefillEndedAt < millis;
  }

  long linkBytes() {
    return linkBytes;
  }

  void startTransfer(long bytes) {
    linkBytes += bytes;
  }

  void endTransfer(long bytes) {
    linkBytes -= bytes;
  }

  private int otherOwnersRequests(long nowMillis) {
    return nowMillis - reportedAt > REPORT_STALE_MILLIS ? 0 : otherOwnersRequests;
  }
}
