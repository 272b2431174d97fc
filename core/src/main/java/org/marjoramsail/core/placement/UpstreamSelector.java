package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Selects the upstreams with the earliest predicted first token for one attempt, or determines the
 * resource that the attempt lacks. It reserves nothing.
 */
final class UpstreamSelector {

  /** Number of tokens in one prefix block. */
  static final int BLOCK_TOKENS = 16;

  /** Largest share of the KV lifetime that the transfers ahead on the links may take. */
  private static final double MAXIMUM_LINK_SHARE = 0.5;

  /**
   * Utilisation up to which a plain upstream in the availability zone of the entry is preferred.
   */
  private static final double ZONE_PREFERENCE_LIMIT = 0.75;

  /** Penalty of a fully utilised upstream, in milliseconds, because it generates more slowly. */
  private static final double FULL_PENALTY_MILLIS = 20;

  private static final long QUICK_WINDOW_MILLIS = 10_000;

  private final ShardUpstreams upstreams;
  private final PlacementSettings settings;
  private final PlacementEstimates estimates;
  private final ExpectedCompletion completion;
  private final Function<DaemonId, Optional<String>> zoneOf;
  private final Supplier<Set<SoftwareVersion>> awaitedVersions;
  private final UrgentCapacity urgentCapacity;
  private final long takenOverAt;
  private final long settledAt;

  private long kvBytesPerToken;
  private long quickUntil = Long.MIN_VALUE;

  /**
   * Creates a selector.
   *
   * @param awaitedVersions returns the software versions that continuations wait for
   * @param urgentCapacity capacity that is kept from less urgent requests
   */
  UpstreamSelector(
      ShardUpstreams upstreams,
      PlacementEstimates estimates,
      PlacerSetup setup,
      Supplier<Set<SoftwareVersion>> awaitedVersions,
      UrgentCapacity urgentCapacity,
      long nowMillis) {
    this.upstreams = upstreams;
    this.settings = setup.settings();
    this.estimates = estimates;
    this.completion = new ExpectedCompletion(upstreams, estimates);
    this.zoneOf = setup.zoneOf();
    this.awaitedVersions = awaitedVersions;
    this.urgentCapacity = urgentCapacity;
    this.takenOverAt = nowMillis;
    this.settledAt = setup.isTakenOver() ? nowMillis + settings.settlingMillis() : nowMillis;
  }

  void kvBytesPerToken(long bytes) {
    kvBytesPerToken = bytes;
  }

  long transferBytes(PlacementRequest request) {
    return request.promptTokens() * kvBytesPerToken;
  }

  /** Records that a quick request arrived, so that slots are reserved for further ones. */
  void quickRequestArrived(long nowMillis) {
    quickUntil = nowMillis + QUICK_WINDOW_MILLIS;
  }

  /**
   * Returns whether a prefill upstream has to prefill the prompt, as far as can be predicted at its
   * arrival.
   */
  boolean needsPrefillUpstream(PlacementRequest request, long nowMillis) {
    if (!request.isGeneration() || request.kvHeldBy().isPresent()) {
      return false;
    }
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() == UpstreamRole.DECODE
          && upstream.isUsable(nowMillis)
          && upstream.prefillMillis(uncachedTokens(upstream, request))
              <= settings.localPrefillMillis()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the minimum time on idle upstreams until the first token, or until the last one for a
   * class that may wait.
   */
  double minimumMillis(PlacementRequest request, long nowMillis) {
    if (!request.isGeneration()) {
      return 0;
    }
    double minimum = Double.POSITIVE_INFINITY;
    double transfer = transferBytes(request) / estimates.linkBytesPerMilli();
    for (UpstreamState upstream : upstreams.all()) {
      boolean isPrefillUpstream = upstream.role() == UpstreamRole.PREFILL;
      if (isPrefillUpstream && upstream.isUsable(nowMillis)) {
        minimum =
            Math.min(minimum, upstream.prefillMillis(uncachedTokens(upstream, request)) + transfer);
      }
    }
    boolean hasLiveKv = request.kvHeldBy().isPresent();
    double untilFirstToken = hasLiveKv || Double.isInfinite(minimum) ? 0 : minimum;
    double generating =
        request.serviceClass().mayWait()
            ? estimates.outputTokens(request) * estimates.decodeMillisPerToken()
            : 0;
    return untilFirstToken + generating;
  }

  /** Returns the free slots of the upstreams that generate or respond, for a class of requests. */
  int freeSlots(ServiceClass serviceClass, long nowMillis) {
    int free = 0;
    int slots = 0;
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() != UpstreamRole.PREFILL && upstream.isUsable(nowMillis)) {
        free += freeSlotsOf(upstream, nowMillis);
        slots += upstream.slots();
      }
    }
    boolean isLimited = serviceClass != ServiceClass.QUICK && nowMillis < quickUntil;
    return isLimited ? free - (int) (slots * settings.quickHeadroom()) : free;
  }

  /**
   * Returns whether any upstream can start another prefill now; true if no prefill upstream is
   * usable.
   */
  boolean hasPrefillCapacity(long nowMillis) {
    boolean isAnyUsable = false;
    for (UpstreamState upstream : upstreams.all()) {
      if (!upstream.isUsable(nowMillis)) {
        continue;
      }
      boolean isPrefillUpstream = upstream.role() == UpstreamRole.PREFILL;
      isAnyUsable |= isPrefillUpstream;
      if (isPrefillUpstream
          ? isOpenForPrefill(upstream, nowMillis)
          : isOpenForOverflow(upstream, nowMillis)) {
        return true;
      }
    }
    return !isAnyUsable;
  }

  /**
   * Selects upstreams for an attempt; if there are none, records in the attempt which resource is
   * missing.
   */
  Optional<PlacementCandidate> select(WaitingAttempt attempt, long nowMillis) {
    PlacementRequest request = attempt.request();
    boolean hasLiveKv = attempt.liveKv(nowMillis).isPresent();
    if (!hasLiveKv && freeSlots(request.serviceClass(), nowMillis) <= 0) {
      attempt.missing(missingSlot(request, nowMillis));
      return Optional.empty();
    }
    if (!request.isGeneration()) {
      return selectPlain(attempt, nowMillis);
    }
    return hasLiveKv ? selectForLiveKv(attempt, nowMillis) : selectEngines(attempt, nowMillis);
  }

  private MissingResource missingSlot(PlacementRequest request, long nowMillis) {
    UpstreamRole role = request.isGeneration() ? UpstreamRole.DECODE : UpstreamRole.PLAIN;
    MissingResource missing = MissingResource.UPSTREAM;
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() != role
          || !upstream.isUsable(nowMillis)
          || !upstream.mayContinue(request.requiredVersion())) {
        continue;
      }
      if (!request.isGeneration()) {
        return MissingResource.PLAIN_SLOT;
      }
      if (isOpenFor(upstream, role, request, nowMillis)
          && !hasMemory(upstream, request, nowMillis)) {
        return MissingResource.ENGINE_MEMORY;
      }
      missing = MissingResource.DECODE_SLOT;
    }
    return missing;
  }

  /** Returns what an attempt lacks; for engine memory with what it needs and what is free. */
  String describeMissing(WaitingAttempt attempt, long nowMillis) {
    String code = attempt.missing().code();
    if (attempt.missing() != MissingResource.ENGINE_MEMORY) {
      return code;
    }
    PlacementRequest request = attempt.request();
    return code
        + " ("
        + request.promptTokens()
        + " prompt and up to "
        + request.outputTokens()
        + " output tokens; at most "
        + mostFreeTokens(nowMillis)
        + " free on one engine)";
  }

  /** Returns the largest memory that the requests on one decode upstream will leave free. */
  private long mostFreeTokens(long nowMillis) {
    double millisPerToken = estimates.decodeMillisPerToken();
    return upstreams.all().stream()
        .filter(it -> it.role() == UpstreamRole.DECODE && it.isUsable(nowMillis))
        .mapToLong(
            it ->
                it.memoryTokens().orElse(0)
                    - Math.round(it.memory().plannedTokens(nowMillis, millisPerToken)))
        .max()
        .orElse(0);
  }

  private Optional<PlacementCandidate> selectPlain(WaitingAttempt attempt, long nowMillis) {
    PlacementRequest request = attempt.request();
    Optional<String> zone = zoneOf.apply(request.entry());
    boolean differs = completion.differs(UpstreamRole.PLAIN, nowMillis);
    LowestScore lowest = new LowestScore();
    for (UpstreamState upstream : upstreams.all()) {
      if (!isCandidate(upstream, UpstreamRole.PLAIN, request, nowMillis)) {
        continue;
      }
      lowest.add(
          upstream,
          differs
              ? completion.plainMillis(request, upstream, zone, nowMillis)
              : plainScore(upstream, zone, nowMillis));
    }
    if (lowest.best() == null) {
      attempt.missing(missingSlot(request, nowMillis));
      return Optional.empty();
    }
    PlacementCandidate plain =
        new PlacementCandidate(GrantMode.PLAIN, Optional.empty(), lowest.best(), false, 0, 0, 0, 0);
    return Optional.of(differs ? withEstimate(plain, request, lowest) : plain);
  }

  /** Returns the utilisation, with a preference for the availability zone of the entry. */
  private static double plainScore(UpstreamState upstream, Optional<String> zone, long nowMillis) {
    double utilisation = upstream.utilisation(nowMillis);
    boolean isSameZone = zone.isPresent() && zone.get().equals(upstream.availabilityZone());
    return isSameZone && utilisation < ZONE_PREFERENCE_LIMIT ? utilisation - 1 : utilisation;
  }

  private PlacementCandidate withEstimate(
      PlacementCandidate candidate, PlacementRequest request, LowestScore lowest) {
    return candidate.withEstimate(lowest.estimate(estimates.costMillis(request)));
  }

  private Optional<PlacementCandidate> selectForLiveKv(WaitingAttempt attempt, long nowMillis) {
    Optional<UpstreamState> holder = attempt.liveKv(nowMillis).flatMap(upstreams::find);
    if (holder.isEmpty()) {
      return selectEngines(attempt, nowMillis);
    }
    PlacementRequest request = attempt.request();
    LowestScore lowest = bestDecode(request, holder.get(), nowMillis);
    if (lowest.best() == null) {
      attempt.missing(missingSlot(request, nowMillis));
      return Optional.empty();
    }
    return Optional.of(
        withDecodeEstimate(
            disaggregated(request, holder.get(), lowest.best(), 0, false),
            request,
            lowest,
            nowMillis));
  }

  private PlacementCandidate withDecodeEstimate(
      PlacementCandidate candidate, PlacementRequest request, LowestScore lowest, long nowMillis) {
    return completion.differs(UpstreamRole.DECODE, nowMillis)
        ? withEstimate(candidate, request, lowest)
        : candidate;
  }

  private Optional<PlacementCandidate> selectEngines(WaitingAttempt attempt, long nowMillis) {
    PlacementRequest request = attempt.request();
    LowestScore lowestLocal = bestLocal(request, nowMillis);
    UpstreamState localUpstream = lowestLocal.best();
    if (localUpstream == null) {
      attempt.missing(missingSlot(request, nowMillis));
      return Optional.empty();
    }
    if (localUpstream.prefillMillis(uncachedTokens(localUpstream, request))
        <= settings.localPrefillMillis()) {
      return Optional.of(
          withDecodeEstimate(
              localPrefill(localUpstream, request), request, lowestLocal, nowMillis));
    }
    boolean isAnyUsable = false;
    UpstreamState prefillUpstream = null;
    double earliestEnd = Double.POSITIVE_INFINITY;
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() != UpstreamRole.PREFILL || !upstream.isUsable(nowMillis)) {
        continue;
      }
      isAnyUsable = true;
      boolean isOpen = isOpenForPrefill(upstream, nowMillis) && isAllowed(upstream, request);
      double end = isOpen ? prefillEnd(upstream, request, nowMillis) : earliestEnd;
      if (end < earliestEnd) {
        earliestEnd = end;
        prefillUpstream = upstream;
      }
    }
    if (!isAnyUsable) {
      // No prefill upstream is usable: decode upstreams prefill the prompts themselves, since a
      // slower response is better than a refusal. The slots still limit the load.
      return Optional.of(localPrefill(localUpstream, request));
    }
    if (prefillUpstream == null) {
      Optional<PlacementCandidate> localOverflow = localOverflow(request, nowMillis);
      if (localOverflow.isEmpty()) {
        attempt.missing(MissingResource.PREFILL_CAPACITY);
      }
      return localOverflow;
    }
    LowestScore lowest = bestDecode(request, prefillUpstream, nowMillis);
    UpstreamState target = lowest.best();
    if (target == null || linkQueueMillis(prefillUpstream, target) > maximumLinkQueueMillis()) {
      attempt.missing(MissingResource.LINK);
      return Optional.empty();
    }
    PlacementCandidate candidate =
        disaggregated(
            request, prefillUpstream, target, uncachedTokens(prefillUpstream, request), true);
    return Optional.of(withDecodeEstimate(candidate, request, lowest, nowMillis));
  }

  /**
   * Returns a decode upstream that prefills the prompt itself because all prefill upstreams are
   * busy.
   *
   * <p>All streams of such an upstream pause meanwhile, so each prefills one prompt at a time, and
   * only a prompt whose pause is within the limit of the request.
   */
  private Optional<PlacementCandidate> localOverflow(PlacementRequest request, long nowMillis) {
    UpstreamState best = null;
    double bestMillis = estimates.localPrefillMillisWithinPause(request);
    for (UpstreamState upstream : upstreams.all()) {
      if (!isCandidate(upstream, UpstreamRole.DECODE, request, nowMillis)
          || !isOpenForOverflow(upstream, nowMillis)
          || upstream.hasPrefilledWithin(estimates.chunkMillis(request), nowMillis)) {
        continue;
      }
      double millis = upstream.prefillMillis(uncachedTokens(upstream, request));
      if (millis <= bestMillis) {
        bestMillis = millis;
        best = upstream;
      }
    }
    return Optional.ofNullable(best).map(target -> localPrefill(target, request));
  }

  private boolean isOpenForOverflow(UpstreamState upstream, long nowMillis) {
    return upstream.role() == UpstreamRole.DECODE
        && settings.localPrefillWhenBusy()
        && freeSlotsOf(upstream, nowMillis) > 0
        && upstream.queueMillis(nowMillis) <= 0;
  }

  private boolean isOpenForPrefill(UpstreamState upstream, long nowMillis) {
    return freeSlotsOf(upstream, nowMillis) > 0
        && upstream.queueMillis(nowMillis) <= settings.prefillAheadMillis()
        && !upstreams.isUnresponsive(upstream, nowMillis);
  }

  private static PlacementCandidate localPrefill(UpstreamState target, PlacementRequest request) {
    int uncachedTokens = uncachedTokens(target, request);
    return new PlacementCandidate(
        GrantMode.LOCAL_PREFILL,
        Optional.empty(),
        target,
        true,
        uncachedTokens,
        0,
        target.prefillMillis(uncachedTokens),
        0);
  }

  private PlacementCandidate disaggregated(
      PlacementRequest request,
      UpstreamState prefillUpstream,
      UpstreamState target,
      int uncachedTokens,
      boolean isPrefillNeeded) {
    return new PlacementCandidate(
        GrantMode.DISAGGREGATED,
        Optional.of(prefillUpstream),
        target,
        isPrefillNeeded,
        uncachedTokens,
        transferBytes(request),
        prefillUpstream.prefillMillis(uncachedTokens),
        transferMillis(request, prefillUpstream, target));
  }

  private double prefillEnd(UpstreamState upstream, PlacementRequest request, long nowMillis) {
    double end = upstream.prefillEnd(uncachedTokens(upstream, request), nowMillis);
    return end + completion.prefillDelayMillis(end - nowMillis, upstream, nowMillis);
  }

  /** Returns the decode upstream that could prefill the prompt itself soonest. */
  private LowestScore bestLocal(PlacementRequest request, long nowMillis) {
    boolean differs = completion.differs(UpstreamRole.DECODE, nowMillis);
    LowestScore lowest = new LowestScore();
    for (UpstreamState upstream : upstreams.all()) {
      if (!isCandidate(upstream, UpstreamRole.DECODE, request, nowMillis)) {
        continue;
      }
      double untilFirstToken =
          upstream.queueMillis(nowMillis)
              + upstream.prefillMillis(uncachedTokens(upstream, request))
              + upstream.utilisation(nowMillis) * FULL_PENALTY_MILLIS;
      lowest.add(upstream, untilFirstToken + outputMillis(differs, request, upstream, nowMillis));
    }
    return lowest;
  }

  private LowestScore bestDecode(
      PlacementRequest request, UpstreamState prefillUpstream, long nowMillis) {
    boolean differs = completion.differs(UpstreamRole.DECODE, nowMillis);
    LowestScore lowest = new LowestScore();
    for (UpstreamState upstream : upstreams.all()) {
      if (!isCandidate(upstream, UpstreamRole.DECODE, request, nowMillis)) {
        continue;
      }
      double untilFirstToken =
          transferMillis(request, prefillUpstream, upstream)
              + upstream.utilisation(nowMillis) * FULL_PENALTY_MILLIS;
      lowest.add(upstream, untilFirstToken + outputMillis(differs, request, upstream, nowMillis));
    }
    return lowest;
  }

  /** Returns the expected time of the output; zero where all upstreams are equally fast. */
  private double outputMillis(
      boolean differs, PlacementRequest request, UpstreamState upstream, long nowMillis) {
    return differs ? completion.generationMillis(request, upstream, nowMillis) : 0;
  }

  private double transferMillis(
      PlacementRequest request, UpstreamState prefillUpstream, UpstreamState target) {
    boolean isSameZone = prefillUpstream.availabilityZone().equals(target.availabilityZone());
    return linkQueueMillis(prefillUpstream, target)
        + transferBytes(request) / estimates.linkBytesPerMilli()
        + (isSameZone ? 0 : settings.otherZoneMillis());
  }

  private double linkQueueMillis(UpstreamState prefillUpstream, UpstreamState target) {
    return Math.max(prefillUpstream.linkBytes(), target.linkBytes())
        / estimates.linkBytesPerMilli();
  }

  private double maximumLinkQueueMillis() {
    return settings.kvLifetimeMillis() * MAXIMUM_LINK_SHARE;
  }

  private boolean isCandidate(
      UpstreamState upstream, UpstreamRole role, PlacementRequest request, long nowMillis) {
    return isOpenFor(upstream, role, request, nowMillis)
        && (role != UpstreamRole.DECODE || hasMemory(upstream, request, nowMillis));
  }

  /** Returns whether an upstream may take the request as far as its memory suffices. */
  private boolean isOpenFor(
      UpstreamState upstream, UpstreamRole role, PlacementRequest request, long nowMillis) {
    return upstream.role() == role
        && upstream.isUsable(nowMillis)
        && freeSlotsOf(upstream, nowMillis) > 0
        && isAllowed(upstream, request)
        && upstream.mayContinue(request.requiredVersion())
        && !isLeftToContinuations(upstream, request, nowMillis)
        && !urgentCapacity.isClosed(upstream, request, nowMillis)
        && !upstreams.isUnresponsive(upstream, nowMillis);
  }

  /**
   * Returns whether an upstream is left to continuations that wait for its software version, while
   * the request can be served by another version.
   *
   * <p>Guards against new requests that take each freed part of the memory of the few upstreams of
   * a version while a larger continuation waits for it.
   */
  private boolean isLeftToContinuations(
      UpstreamState upstream, PlacementRequest request, long nowMillis) {
    Set<SoftwareVersion> awaited = awaitedVersions.get();
    if (awaited.isEmpty() || request.requiredVersion().isPresent()) {
      return false;
    }
    return isAwaited(upstream, awaited)
        && upstreams.all().stream()
            .anyMatch(
                other ->
                    other.role() == upstream.role()
                        && other.isUsable(nowMillis)
                        && !isAwaited(other, awaited));
  }

  private static boolean isAwaited(UpstreamState upstream, Set<SoftwareVersion> awaited) {
    return upstream.softwareVersion().filter(awaited::contains).isPresent();
  }

  private boolean hasMemory(UpstreamState upstream, PlacementRequest request, long nowMillis) {
    return upstream.hasMemoryFor(
        request, nowMillis, completion.decodeMillisPerToken(upstream, nowMillis));
  }

  /**
   * Returns whether the upstream may take the request: an attempt is not repeated where it failed,
   * and two requests that must run alone do not share an upstream.
   */
  private static boolean isAllowed(UpstreamState upstream, PlacementRequest request) {
    return !(request.alone() && upstream.holdsSuspect())
        && !request.avoid().contains(upstream.name());
  }

  /**
   * Returns the free slots of an upstream, or zero while its load is unknown to a new owner.
   *
   * <p>A new owner does not have the grants of the previous one, so granting at once could give
   * engines up to twice the requests that they hold. Until the entry daemons had time to register
   * again, only slots that a report since the change shows to be free are granted.
   */
  private int freeSlotsOf(UpstreamState upstream, long nowMillis) {
    boolean isLoadKnown = nowMillis >= settledAt || upstream.hasReportedSince(takenOverAt);
    return isLoadKnown ? upstream.freeSlots(nowMillis) : 0;
  }

  private static int uncachedTokens(UpstreamState upstream, PlacementRequest request) {
    int cached = upstream.prefixes().match(request.prefixHashes()) * BLOCK_TOKENS;
    return Math.max(1, request.promptTokens() - cached);
  }
}
