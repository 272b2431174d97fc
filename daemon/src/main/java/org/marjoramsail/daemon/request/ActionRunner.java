package org.marjoramsail.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.LifecycleState;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.metrics.RequestMetrics;

/** Executes the actions of one request's lifecycle and returns their results as events. */
final class ActionRunner {

  /** Refusal after an exception or error; whether the request has run is not known. */
  static final Refusal INTERNAL_FAILURE =
      Refusal.unknown(RefusalReason.INTERNAL, "The request ended after an internal failure.");

  private final AttemptSender sender;
  private final Optional<ClaimRequest> claim;
  private final CallerSink sink;
  private final RequestDependencies dependencies;
  private final RequestMeter meter;
  private final RequestProfile profile;
  private final RequestLog log;

  private record AttemptCall(UpstreamName upstream, OpenCall call) {}

  /** Open calls by attempt; there are two while a request is also sent to another upstream. */
  private final Map<Integer, AttemptCall> calls = new HashMap<>(2);

  private Optional<Refusal> lastRefusal = Optional.empty();
  private boolean responded;

  ActionRunner(
      RequestProfile profile,
      AttemptSender sender,
      Optional<ClaimRequest> claim,
      CallerSink sink,
      RequestDependencies dependencies,
      RequestMetrics metrics,
      RequestLog log,
      Clock clock,
      long perTokenTargetMillis) {
    this.profile = profile;
    this.log = log;
    this.sender = sender;
    this.claim = claim;
    this.sink = sink;
    this.dependencies = dependencies;
    this.meter = new RequestMeter(metrics, clock, profile, perTokenTargetMillis);
  }

  /** Counts and logs an exception or error that was thrown while the request was handled. */
  void failedInternally(Throwable failure) {
    meter.failedInternally();
    log.failedInternally(profile, failure);
  }

  /** Returns the upstream of an attempt whose call is open and was not written to a connection. */
  Optional<UpstreamName> upstreamOfUnsent(int attempt) {
    return Optional.ofNullable(calls.get(attempt))
        .filter(open -> open.call().isUnsent())
        .map(AttemptCall::upstream);
  }

  /** Counts a request that is not passed on since its caller has left. */
  void dropped(LifecycleState state) {
    meter.dropped(state);
  }

  /** Refuses a request whose final response could not be sent. */
  void refuseUnlessResponded() {
    if (!responded) {
      responded = true;
      sink.refuse(lastRefusal.orElse(INTERNAL_FAILURE));
    }
  }

  void run(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.EmitToken token) {
      meter.token();
      sink.token(token.attempt(), token.index(), token.text());
    } else if (action instanceof LifecycleAction.RecordVersion version) {
      sender.recordVersion(version);
    } else if (action instanceof LifecycleAction.Complete complete) {
      meter.completed();
      sink.complete(complete.completion());
      responded = true;
    } else if (action instanceof LifecycleAction.DeliverResponse deliver) {
      deliver(deliver.attempt());
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      lastRefusal = Optional.of(refuse.refusal());
      meter.refused(refuse.refusal());
      log.refused(profile, refuse.refusal(), meter.hasBegun());
      sink.refuse(refuse.refusal());
      responded = true;
    } else if (action instanceof LifecycleAction.CountRetry retry) {
      meter.retried(retry.reason(), retry.fromBudget());
    } else if (action instanceof LifecycleAction.CountDrop drop) {
      meter.dropped(drop.reason());
    } else if (action instanceof LifecycleAction.RecordSilence silence) {
      meter.silent(silence.phase());
      log.silent(profile, silence);
    } else if (action instanceof LifecycleAction.RecordSilenceOutcome silence) {
      meter.silenceEnded(silence.outcome());
      log.silenceEnded(profile, silence);
    } else if (!runPlacement(action, events)) {
      runUpstream(action, events);
    }
  }

  private boolean runPlacement(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.Place place) {
      dependencies.placement().place(place.request(), result -> onPlaced(result, events));
    } else if (action instanceof LifecycleAction.Report report) {
      dependencies.placement().report(report.report());
    } else if (action instanceof LifecycleAction.Withdraw withdraw) {
      dependencies.placement().withdraw(withdraw.request());
    } else if (action instanceof LifecycleAction.RecordClaim) {
      recordClaim(events);
    } else if (action instanceof LifecycleAction.SettleClaim settle) {
      claim.ifPresent(request -> dependencies.claims().settle(request, settle.outcome()));
    } else {
      return false;
    }
    return true;
  }

  private void runUpstream(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.SendPrefill send) {
      storeCall(send.attempt(), send.upstream(), sender.sendPrefill(send, events));
    } else if (action instanceof LifecycleAction.SendDecode send) {
      storeCall(send.attempt(), send.upstream(), sender.sendDecode(send, events));
    } else if (action instanceof LifecycleAction.SendPlain send) {
      storeCall(send.attempt(), send.upstream(), sender.sendPlain(send, events));
    } else if (action instanceof LifecycleAction.CloseAttempt close) {
      Optional.ofNullable(calls.remove(close.attempt())).ifPresent(open -> open.call().close());
    } else if (action instanceof LifecycleAction.Cancel cancel) {
      sender.cancel(cancel, events);
    }
  }

  private void deliver(int attempt) {
    meter.plainResponseReceived();
    sender.deliver(attempt);
    responded = true;
  }

  private static void onPlaced(PlacementResult result, Consumer<LifecycleEvent> events) {
    if (result instanceof PlacementResult.Granted granted) {
      events.accept(new LifecycleEvent.Granted(granted.grant()));
    } else if (result instanceof PlacementResult.Refused refused) {
      events.accept(new LifecycleEvent.PlacementRefused(refused.attempt(), refused.refusal()));
    }
  }

  private void recordClaim(Consumer<LifecycleEvent> events) {
    dependencies
        .claims()
        .claim(claim.orElseThrow())
        .onSuccess(decision -> onClaimDecision(decision, events))
        .onFailure(
            cause ->
                events.accept(
                    new LifecycleEvent.ClaimRefused(
                        Refusal.notRun(
                            RefusalReason.STORE_UNAVAILABLE,
                            "The claim could not be recorded: " + cause.getMessage()))));
  }

  private static void onClaimDecision(ClaimDecision decision, Consumer<LifecycleEvent> events) {
    if (decision instanceof ClaimDecision.Refused refused) {
      events.accept(new LifecycleEvent.ClaimRefused(refused.refusal()));
    } else {
      events.accept(new LifecycleEvent.ClaimRecorded());
    }
  }

  private void storeCall(int attempt, UpstreamName upstream, Optional<OpenCall> opened) {
    opened.ifPresent(call -> calls.put(attempt, new AttemptCall(upstream, call)));
  }
}
