package org.marjoramsail.core.outcome;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;

/** What one request and the quarantine tell each other: where it runs, and whether it may. */
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

  /** The upstream that works on the current attempt. */
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
   * A suspect is not sent again while an attempt that was grant up may still arrive and crash its
   * upstream, or one content could crash three: two by late attempts, one by the retry.
   */
  boolean isWaitingForCancels(Suspicion suspicion, long nowMillis) {
    if (suspicion != Suspicion.SUSPECT || outstanding.nextRepeatAtMillis().isEmpty()) {
      return false;
    }
    cancelWaitUntilMillis =
        Math.min(cancelWaitUntilMillis, nowMillis + policy.cancelRepeatLimitMillis());
    return nowMillis < cancelWaitUntilMillis;
  }

  /** What a caller is told whose content is not run any more. */
  String refusalDetail() {
    return "Content "
        + Long.toHexString(profile.fingerprint())
        + " has crashed upstreams and is not run until an operator lifts it or it expires.";
  }

  /** The upstreams that placement has to avoid for a suspect, besides those that failed. */
  List<UpstreamName> upstreamsToAvoid(Collection<UpstreamName> failed) {
    Set<UpstreamName> avoided = new LinkedHashSet<>(failed);
    avoided.addAll(quarantine.upstreamsWithOtherSuspects(profile.fingerprint()));
    return List.copyOf(avoided);
  }

  /** Whether upstreams are upstreamsToAvoid that will hold no other suspect after a while. */
  boolean isAvoidingSuspects(Collection<UpstreamName> failed, long nowMillis) {
    return suspicion(nowMillis) == Suspicion.SUSPECT
        && upstreamsToAvoid(failed).size() > Set.copyOf(failed).size();
  }

  /**
   * Whether a grant would put it beside another suspect. Guards against the failure in which two
   * requests were placed side by side before they became suspect together.
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
   * Forgets where the attempt runs. The quarantine keeps it until the upstream holds nothing of it:
   * an attempt that was grant up may still crash the upstream before its cancel arrives.
   */
  void stopRunning(int attempt) {
    runningOn
        .filter(upstream -> !outstanding.isOutstanding(attempt, upstream))
        .ifPresent(upstream -> released(attempt, upstream));
    runningOn = Optional.empty();
  }

  void released(int attempt, UpstreamName upstream) {
    quarantine.released(upstream, profile.id(), attempt);
  }
}
