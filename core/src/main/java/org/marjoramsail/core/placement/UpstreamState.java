package org.marjoramsail.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.cost.FailureShare;
import org.marjoramsail.core.cost.MomentaryLoad;
import org.marjoramsail.core.cost.UpstreamSpeed;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Load, estimates and health of one upstream, as the owner of its shard tracks them. */
final class UpstreamState {

  private static final long REFUSAL_PAUSE_MILLIS = 2_000;

  /** How long an upstream gets no new request after it refused one as full, in milliseconds. */
  private static final long FULL_PAUSE_MILLIS = 60;

  private static final long REPORT_STALE_MILLIS = 10_000;

  /** Maximum time between the measurement of a load and the response that states it. */
  private static final long LOAD_LAG_MILLIS = 100;

  private static final int REMEMBERED_ENDS = 256;
  private static final int SHORT_PROMPT_TOKENS = 512;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlacementSettings settings;
  private final PrefixIndex prefixes = new PrefixIndex();
  private final ReservedMemory memory;
  private final PrefillRate prefillRate;
  private final PlainOccupancy occupancy;
  private MovingAverage dedicatedMillisPerToken;
  private MovingAverage localMillisPerToken;
  private final MovingAverage overheadMillis;
  private final RecentLocalPrefills recentLocalPrefills = new RecentLocalPrefills();
  private final ProgressWatchdog progressWatchdog = new ProgressWatchdog();
  private final Deque<Long> recentEnds = new ArrayDeque<>();

  private EjectionState ejection;
  private UpstreamRateLimit limit = new UpstreamRateLimit();
  private UpstreamSpeed speed = new UpstreamSpeed();
  private MomentaryLoad momentaryLoad = new MomentaryLoad();
  private FailureShare failures = new FailureShare();
  private long learningSince = NEVER;
  private double outstandingMillis;
  private UpstreamDefinition definition;
  private UpstreamRole role;
  private boolean configured = true;
  private boolean listedUnavailable;
  private boolean reportedLeaving;
  private boolean announcedLeaving;
  private long refusedUntil = NEVER;

  private int reserved;
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
   * Creates the state of an upstream that holds no request.
   *
   * @param outputLengths the output lengths of the shard relative to their predictions
   * @param prefillRate the rate of the prefill upstreams of the shard
   * @param occupancy how long plain requests of the shard hold their slots
   */
  UpstreamState(
      UpstreamDefinition definition,
      PlacementSettings settings,
      OutputLengthDistribution outputLengths,
      PrefillRate prefillRate,
      PlainOccupancy occupancy) {
    this.prefillRate = prefillRate;
    this.occupancy = occupancy;
    this.memory = new ReservedMemory(new MemoryForecast(outputLengths));
    this.definition = definition;
    this.role = definition.role();
    this.settings = settings;
    unlearn(NEVER);
    this.overheadMillis = new MovingAverage(settings.prefillOverheadMillis());
    this.ejection = new EjectionState(settings);
  }

  UpstreamName name() {
    return definition.name();
  }

  UpstreamRole role() {
    return role;
  }

  Optional<SoftwareVersion> softwareVersion() {
    return definition.softwareVersion();
  }

  /** Returns whether it may continue the output of a software version; any, if empty. */
  boolean mayContinue(Optional<SoftwareVersion> version) {
    return definition.mayContinue(version);
  }

  String availabilityZone() {
    return definition.availabilityZone();
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  /** Returns the watchdog of the requests whose first output from this upstream is pending. */
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
   * Applies a newer definition. A role that changed in it applies until the engine reports its own.
   *
   * @return whether the definition belongs to another incarnation of the upstream
   */
  boolean define(UpstreamDefinition newer, long nowMillis) {
    boolean restarted = newer.incarnation().replaces(definition.incarnation());
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

  /**
   * Discards what was observed of the previous incarnation, which does not apply to the new one.
   */
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
    unlearn(nowMillis);
  }

  /** Discards speeds, slowdown and failures, which an upstream may not have after a restart. */
  private void unlearn(long nowMillis) {
    learningSince = nowMillis;
    speed = new UpstreamSpeed();
    momentaryLoad = new MomentaryLoad();
    failures = new FailureShare();
    dedicatedMillisPerToken = new MovingAverage(1 / settings.prefillTokensPerMilli());
    localMillisPerToken =
        new MovingAverage(settings.localPrefillSlowdown() / settings.prefillTokensPerMilli());
  }

  /** Returns the speed of generation, or of plain work on a plain upstream. */
  UpstreamSpeed speed() {
    return speed;
  }

  /**
   * Updates the speed from a completed attempt, unless it began on an earlier incarnation.
   *
   * @param grantedAt when the attempt was granted
   */
  void learnSpeed(double millisPerUnit, long grantedAt) {
    if (grantedAt >= learningSince) {
      speed.observe(millisPerUnit);
    }
  }

  /** Returns the slowdown and the load of others that the upstream stated. */
  MomentaryLoad momentaryLoad() {
    return momentaryLoad;
  }

  /** Returns the recent share of failed attempts. */
  FailureShare failures() {
    return failures;
  }

  /** Applies a load unless it is of another incarnation; returns false if it is invalid. */
  boolean acceptLoad(RelayedFeedback feedback, long nowMillis) {
    if (feedback.load().isEmpty()
        || definition.incarnation().certainlyDiffersFrom(feedback.startedAtMillis())) {
      return true;
    }
    long statedAt = nowMillis - feedback.loadAgeMillis() - LOAD_LAG_MILLIS;
    int granted = reserved + (int) recentEnds.stream().filter(end -> end >= statedAt).count();
    return momentaryLoad.accept(
        feedback.load().get(), feedback.loadAgeMillis(), granted, nowMillis);
  }

  /** Adds the expected work of a granted attempt, or removes it if negative. */
  void addOutstanding(double millis) {
    outstandingMillis += millis;
  }

  /** Returns the expected work of the attempts that hold its slots, at the mean speed. */
  double outstandingMillis() {
    return reserved == 0 ? 0 : Math.max(0, outstandingMillis);
  }

  /** Returns the request rate that the upstream announced, and the credit that is left of it. */
  UpstreamRateLimit limit() {
    return limit;
  }

  /**
   * Applies feedback that the upstream gave to a host.
   *
   * @return whether the feedback announces leaving or a rate limit for the first time
   */
  boolean acceptFeedback(RelayedFeedback feedback, long nowMillis) {
    if (definition.incarnation().certainlyDiffersFrom(feedback.startedAtMillis())) {
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

  /**
   * Marks the upstream as removed from the configuration; it is dropped once no request runs on it.
   */
  void undefine() {
    configured = false;
  }

  void setListedAvailable(boolean available, long nowMillis) {
    if (available && listedUnavailable) {
      ejection.startSlowly(nowMillis);
    }
    listedUnavailable = !available;
  }

  /**
   * Stops new work for a short time after the upstream refused a request, until reports can show
   * why.
   */
  void refused(long nowMillis) {
    refusedUntil = nowMillis + REFUSAL_PAUSE_MILLIS;
  }

  /** Returns whether the upstream itself announced that it leaves; this holds until it restarts. */
  boolean isAnnouncedLeaving() {
    return announcedLeaving;
  }

  /**
   * Returns whether the upstream takes no new work, by its definition, its reports or its feedback.
   */
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

  /**
   * Returns whether the upstream is usable and its last response succeeded, not before the given
   * time.
   */
  boolean isServingSince(long sinceMillis, long nowMillis) {
    return isUsable(nowMillis) && ejection.isServingSince(sinceMillis);
  }

  /**
   * Stops new work for a moment after the upstream refused a request because it was full. Other
   * owners may use it too, or it held more requests than this owner had counted.
   */
  void refusedAsFull(long nowMillis) {
    refusedUntil = Math.max(refusedUntil, nowMillis + FULL_PAUSE_MILLIS);
  }

  /**
   * Returns whether the memory suffices for the request and all others until they end; true if the
   * memory size is unknown.
   */
  boolean hasMemoryFor(PlacementRequest request, long nowMillis, double millisPerToken) {
    return hasMemoryFor(request.promptTokens(), request.outputTokens(), nowMillis, millisPerToken);
  }

  /** Returns the same for a request of the given lengths. */
  boolean hasMemoryFor(int promptTokens, int outputTokens, long nowMillis, double millisPerToken) {
    return memory.hasRoomFor(promptTokens, outputTokens, memoryTokens(), nowMillis, millisPerToken);
  }

  /**
   * Returns the expected time until the memory suffices for the request, in milliseconds; infinite
   * if it never does.
   */
  double millisUntilRoomFor(
      int promptTokens, int outputTokens, long nowMillis, double millisPerToken) {
    return memory.millisUntilRoomFor(
        promptTokens, outputTokens, memoryTokens(), nowMillis, millisPerToken);
  }

  /** Returns the size of the memory; empty if it is unknown. */
  Optional<Integer> memoryTokens() {
    return definition.memoryTokens().filter(tokens -> tokens > 0);
  }

  /** Returns the memory that the requests on the upstream reserve. */
  ReservedMemory memory() {
    return memory;
  }

  /** Returns the number of requests of the given size that fit at once, by slots and memory. */
  int slotsFor(double tokens) {
    return ReservedMemory.requestsThatFit(tokens, slots(), memoryTokens());
  }

  /** Returns the state as one word for operators. */
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
   * Returns the highest rate, in requests a millisecond, at which requests of the given size can
   * complete.
   *
   * @param holdMillis how long one request holds a slot
   */
  double requestsPerMilli(double tokens, double holdMillis) {
    return Math.min(slotsFor(tokens) / holdMillis, limit.perMilli());
  }

  /**
   * Returns the number of slots: the lower of the defined and the reported number. Plain upstreams
   * get extra slots for the time that requests spend on the way.
   */
  int slots() {
    int configuredSlots = definition.slots();
    int slots = reportedSlots > 0 ? Math.min(configuredSlots, reportedSlots) : configuredSlots;
    return role == UpstreamRole.PLAIN ? (int) (slots * occupancy.factor()) : slots;
  }

  /** Returns how many slots this owner may still reserve now; never negative. */
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
    return Math.max(bySlots, memory.utilisation(memoryTokens()));
  }

  boolean hasReportedSince(long sinceMillis) {
    return reportedAt >= sinceMillis;
  }

  boolean holdsSuspect() {
    return suspects > 0;
  }

  /** Reserves a slot for a request that will be sent to the upstream. */
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
   * Reserves a slot for an attempt that another owner granted and this owner took over.
   *
   * <p>The attempt is removed from the reported load of other owners, else it counts twice until
   * the next report and blocks grants.
   */
  void adopt(boolean alone) {
    reserveSlot(alone);
    otherOwnersRequests = Math.max(0, otherOwnersRequests - 1);
  }

  /**
   * Applies a load report.
   *
   * <p>A report is delayed: it may include attempts that have ended since, and omit attempts
   * granted since. Freeing slots by it could grant more requests than the engine holds, so a report
   * only adds load: what exceeds the attempts of this owner that it can include is attributed to
   * other owners.
   */
  void report(LoadReport report, long nowMillis) {
    if (report.incarnation() < incarnation) {
      return;
    }
    if (report.incarnation() > incarnation && incarnation != NEVER) {
      prefixes.clear();
      busyUntil = nowMillis;
      ejection.startSlowly(nowMillis);
      unlearn(nowMillis);
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

  /** Returns when the upstream would have prefilled its queue and the given number of tokens. */
  double prefillEnd(int tokens, long nowMillis) {
    return nowMillis + queueMillis(nowMillis) + prefillMillis(tokens);
  }

  double prefillMillis(int tokens) {
    return overheadMillis.value() + tokens * millisPerToken();
  }

  /**
   * Returns the prefill time of a token in the present role: on a decode upstream, prefill runs
   * concurrently with generation.
   */
  private double millisPerToken() {
    MovingAverage observed = observedMillisPerToken();
    if (observed.hasObservations()) {
      return observed.value();
    }
    return role == UpstreamRole.DECODE
        ? prefillRate.localMillisPerToken()
        : prefillRate.dedicatedMillisPerToken();
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

  /**
   * Records that a prefill ended, whether or not it succeeded, and recomputes from the remaining
   * queue when the upstream is free.
   */
  void endPrefill(int tokens, long nowMillis) {
    if (role == UpstreamRole.DECODE) {
      recentLocalPrefills.add(prefillMillis(tokens), nowMillis);
    }
    prefillEndedAt = nowMillis;
    queuedTokens -= tokens;
    busyUntil = nowMillis + queuedTokens * millisPerToken();
  }

  /**
   * Updates the prefill estimates from a prefill that has just ended.
   *
   * @param tookMillis time since the request was sent; the part before the previous prefill ended
   *     is not counted, else a busy upstream appears slower than it is
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

  /** Returns the prefills that this decode upstream recently ran concurrently with generation. */
  RecentLocalPrefills recentLocalPrefills() {
    return recentLocalPrefills;
  }

  /** Returns whether a prefill ended on the upstream less than the given time ago. */
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
