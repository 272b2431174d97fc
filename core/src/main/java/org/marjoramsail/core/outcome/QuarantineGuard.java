package org.marjoramsail.core.outcome;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;

/** Connects one request to the quarantine: reports where it runs and checks whether it may run. */
final class QuarantineGuard {

  private final RequestProfile profile;
  private final LifecyclePolicy policy;
  private final Quarantine quarantine;
  private final OutstandingAttempts outstanding;
  private long cancelWaitUntilMillis = Long.MAX_VALUE;
  private Optional<UpstreamName> runningOn = Optional.empty();

  QuarantineGuard(
      RequestProfile profile,
      LifecyclePolicy policy,
      Quarantine quarantine,
      OutstandingAttempts outstanding) {
    this.profile = profile;
    this.policy = policy;
    this.quarantine = quarantine;
    this.outstanding = outstanding;
  }

  /** Returns the upstream that works on the current attempt. */
  Optional<UpstreamName> runningOn() {
    return runningOn;
  }

  boolean isRunningOn(UpstreamName upstream) {
    return runningOn.equals(Optional.of(upstream));
  }

  /** Returns how the request is handled now: the stricter of its content and its prompt parts. */
  Suspicion suspicion(long nowMillis) {
    Suspicion ofContent = quarantine.suspicion(profile.fingerprint(), nowMillis);
    if (ofContent == Suspicion.QUARANTINED || !refusingParts(nowMillis).isEmpty()) {
      return Suspicion.QUARANTINED;
    }
    return mustWaitForSuspectedPart(nowMillis) ? Suspicion.UNSETTLED : ofContent;
  }

  private List<SharedPromptPart> refusingParts(long nowMillis) {
    return quarantine.refusingParts(profile.sharedParts(), nowMillis);
  }

  private boolean mustWaitForSuspectedPart(long nowMillis) {
    return quarantine.isPartOnTrial(profile.sharedParts(), nowMillis);
  }

  boolean isQuarantined(long nowMillis) {
    return suspicion(nowMillis) == Suspicion.QUARANTINED;
  }

  /**
   * Returns whether a suspect waits for cancels: an attempt that was cancelled may still arrive and
   * crash its upstream, so that a retry would add a further crash.
   */
  boolean isWaitingForCancels(Suspicion suspicion, long nowMillis) {
    if (suspicion != Suspicion.SUSPECT || outstanding.nextRepeatAtMillis().isEmpty()) {
      return false;
    }
    cancelWaitUntilMillis =
        Math.min(cancelWaitUntilMillis, nowMillis + policy.cancelRepeatLimitMillis());
    return nowMillis < cancelWaitUntilMillis;
  }

  /** Returns the refusal of a request whose content or prompt part is quarantined. */
  Refusal refusal(long nowMillis) {
    List<SharedPromptPart> parts = refusingParts(nowMillis);
    if (parts.isEmpty()) {
      return Refusal.notRun(
          RefusalReason.QUARANTINED,
          "Content "
              + Long.toHexString(profile.fingerprint())
              + " has crashed upstreams and is not run until an operator lifts it or it expires.");
    }
    String names = parts.stream().map(SharedPromptPart::id).collect(Collectors.joining(", "));
    return Refusal.notRun(
        RefusalReason.PROMPT_PART_QUARANTINED,
        "Prompt part "
            + names
            + " has crashed upstreams and is not run until an operator lifts it or it expires.");
  }

  /**
   * Returns the upstreams that placement has to avoid for a suspect, including those that failed.
   */
  List<UpstreamName> upstreamsToAvoid(Collection<UpstreamName> failed) {
    Set<UpstreamName> avoided = new LinkedHashSet<>(failed);
    avoided.addAll(quarantine.upstreamsWithOtherSuspects(profile.fingerprint()));
    return List.copyOf(avoided);
  }

  /** Returns whether some upstreams are avoided only because they hold other suspects now. */
  boolean isAvoidingSuspects(Collection<UpstreamName> failed, long nowMillis) {
    return suspicion(nowMillis) == Suspicion.SUSPECT
        && upstreamsToAvoid(failed).size() > Set.copyOf(failed).size();
  }

  /**
   * Returns whether a granted attempt has to be placed again later: it became unsettled since it
   * was placed, or its upstream may hold another suspect. Guards against two requests that were
   * placed on one upstream before both became suspect, against two with the same suspected part
   * that were placed before one of them started, and against one whose content or part was cut
   * elsewhere while it waited.
   */
  boolean mustPostpone(Grant grant, long nowMillis) {
    Suspicion suspicion = suspicion(nowMillis);
    if (suspicion != Suspicion.SUSPECT) {
      return suspicion == Suspicion.UNSETTLED;
    }
    List<UpstreamName> others = quarantine.upstreamsWithOtherSuspects(profile.fingerprint());
    return others.contains(grant.target()) || grant.prefill().filter(others::contains).isPresent();
  }

  void started(int attempt, UpstreamName upstream) {
    runningOn = Optional.of(upstream);
    quarantine.started(
        upstream, profile.id(), attempt, profile.fingerprint(), profile.sharedParts());
  }

  /**
   * Records the start of a prefill, without the prompt parts: these crash upstreams only when
   * output begins.
   */
  void prefillStarted(int attempt, UpstreamName upstream) {
    runningOn = Optional.of(upstream);
    quarantine.started(upstream, profile.id(), attempt, profile.fingerprint());
  }

  void outputReceived(int attempt, long nowMillis) {
    runningOn.ifPresent(
        upstream -> quarantine.outputReceived(upstream, profile.id(), attempt, nowMillis));
  }

  void connectionLost(int attempt, UpstreamName upstream, long nowMillis) {
    quarantine.connectionLost(upstream, profile.id(), attempt, nowMillis);
  }

  void completed(int attempt, long nowMillis) {
    outputReceived(attempt, nowMillis);
    quarantine.completed(profile.fingerprint(), nowMillis);
  }

  /**
   * Ends the work on the current attempt. The quarantine keeps the attempt until the upstream holds
   * no resources for it: until its cancel arrives it may still crash the upstream.
   */
  void stopRunning(int attempt) {
    runningOn.ifPresent(upstream -> stopSetAside(attempt, upstream));
    runningOn = Optional.empty();
  }

  /** Detaches the current attempt, which continues; returns its upstream. */
  UpstreamName setAside() {
    UpstreamName upstream = runningOn.orElseThrow();
    runningOn = Optional.empty();
    return upstream;
  }

  /** Makes an attempt that was set aside the current one again. */
  void resume(UpstreamName upstream) {
    runningOn = Optional.of(upstream);
  }

  /** Ends the work on an attempt that was set aside; see {@link #stopRunning}. */
  void stopSetAside(int attempt, UpstreamName upstream) {
    if (!outstanding.isOutstanding(attempt, upstream)) {
      released(attempt, upstream);
    }
  }

  void released(int attempt, UpstreamName upstream) {
    quarantine.released(upstream, profile.id(), attempt);
  }
}
