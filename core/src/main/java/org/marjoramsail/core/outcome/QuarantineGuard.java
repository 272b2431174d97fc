package org.marjoramsail.core.outcome;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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

  Suspicion suspicion(long nowMillis) {
    return quarantine.suspicion(profile.fingerprint(), nowMillis);
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

  /** Returns the refusal text for a caller whose content is quarantined. */
  String refusalDetail() {
    return "Content "
        + Long.toHexString(profile.fingerprint())
        + " has crashed upstreams and is not run until an operator lifts it or it expires.";
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
   * Returns whether a grant has an upstream that may hold another suspect. Guards against two
   * requests that were placed on one upstream before both became suspect.
   */
  boolean wouldShareUpstreamWithSuspect(Grant grant, long nowMillis) {
    if (suspicion(nowMillis) != Suspicion.SUSPECT) {
      return false;
    }
    List<UpstreamName> others = quarantine.upstreamsWithOtherSuspects(profile.fingerprint());
    return others.contains(grant.target()) || grant.prefill().filter(others::contains).isPresent();
  }

  void started(int attempt, UpstreamName upstream) {
    runningOn = Optional.of(upstream);
    quarantine.started(upstream, profile.id(), attempt, profile.fingerprint());
  }

  void outputReceived(int attempt) {
    runningOn.ifPresent(upstream -> quarantine.outputReceived(upstream, profile.id(), attempt));
  }

  void connectionLost(int attempt, UpstreamName upstream, long nowMillis) {
    quarantine.connectionLost(upstream, profile.id(), attempt, nowMillis);
  }

  void completed(long nowMillis) {
    quarantine.completed(profile.fingerprint(), nowMillis);
  }

  /**
   * Ends the work on the current attempt. The quarantine keeps the attempt until the upstream holds
   * no resources for it: until its cancel arrives it may still crash the upstream.
   */
  void stopRunning(int attempt) {
    runningOn.ifPresent(upstream -> stopAside(attempt, upstream));
    runningOn = Optional.empty();
  }

  /** Leaves the current attempt to its upstream, which goes on, while another is made. */
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
  void stopAside(int attempt, UpstreamName upstream) {
    if (!outstanding.isOutstanding(attempt, upstream)) {
      released(attempt, upstream);
    }
  }

  void released(int attempt, UpstreamName upstream) {
    quarantine.released(upstream, profile.id(), attempt);
  }
}
