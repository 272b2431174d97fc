package org.marjoramsail.daemon.request;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestLifecycle;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantEstimate;

/** Records the events and actions of a request as steps of its trace. */
final class TraceRecorder {

  private TraceRecorder() {}

  static void recordEvent(
      RequestTrace trace,
      long nowMillis,
      RequestLifecycle lifecycle,
      LifecycleEvent event,
      List<LifecycleAction> actions) {
    if (event instanceof LifecycleEvent.Granted granted) {
      recordGrant(trace, nowMillis, granted.grant());
    } else if (event instanceof LifecycleEvent.UpstreamFailed failed) {
      String reason = failed.failure().name().toLowerCase(Locale.ROOT).replace('_', '-');
      trace.add(
          nowMillis,
          TraceKind.UPSTREAM_FAILED,
          failed.attempt(),
          Optional.of(failed.upstream()),
          Optional.of(reason));
    } else if (event instanceof LifecycleEvent.OutputStarted started) {
      trace.add(
          nowMillis,
          TraceKind.OUTPUT_STARTED,
          started.attempt(),
          Optional.of(started.upstream()),
          started.version().map(SoftwareVersion::value));
    } else if (event instanceof LifecycleEvent.Prefilled prefilled) {
      add(trace, nowMillis, TraceKind.PREFILLED, prefilled.attempt(), Optional.empty());
    } else if (event instanceof LifecycleEvent.CallerDisconnected) {
      add(trace, nowMillis, TraceKind.CALLER_GONE, lifecycle.attempt(), Optional.empty());
    }
    actions.forEach(action -> recordAction(trace, nowMillis, lifecycle.attempt(), action));
  }

  /** Records a grant if its owner has stated what it expected. */
  static void recordGrant(RequestTrace trace, long nowMillis, Grant grant) {
    grant
        .estimate()
        .ifPresent(
            estimate ->
                trace.add(
                    nowMillis,
                    TraceKind.GRANTED,
                    grant.attempt(),
                    Optional.of(grant.target()),
                    Optional.of(describe(estimate))));
  }

  private static String describe(GrantEstimate estimate) {
    String runnerUp =
        estimate
            .runnerUp()
            .map(name -> ", runner-up " + name.value() + " " + estimate.runnerUpMillis() + " ms")
            .orElse("");
    return "cost "
        + estimate.costMillis()
        + " ms, completion "
        + estimate.completionMillis()
        + " ms"
        + runnerUp;
  }

  private static void recordAction(
      RequestTrace trace, long nowMillis, int attempt, LifecycleAction action) {
    if (action instanceof LifecycleAction.EmitToken token) {
      trace.recordChunk(nowMillis, token.index());
      if (token.index() == 0) {
        add(trace, nowMillis, TraceKind.FIRST_TOKEN, attempt, Optional.empty());
      }
    } else if (action instanceof LifecycleAction.SendPrefill send) {
      add(trace, nowMillis, TraceKind.PREFILL_SENT, attempt, Optional.of(send.upstream()));
    } else if (action instanceof LifecycleAction.SendDecode send) {
      add(trace, nowMillis, TraceKind.DECODE_SENT, attempt, Optional.of(send.upstream()));
    } else if (action instanceof LifecycleAction.SendPlain send) {
      add(trace, nowMillis, TraceKind.PLAIN_SENT, attempt, Optional.of(send.upstream()));
    } else if (action instanceof LifecycleAction.Cancel cancel) {
      add(
          trace,
          nowMillis,
          TraceKind.CANCEL_SENT,
          cancel.attempt(),
          Optional.of(cancel.upstream()));
    } else {
      recordDecision(trace, nowMillis, attempt, action);
    }
  }

  private static void recordDecision(
      RequestTrace trace, long nowMillis, int attempt, LifecycleAction action) {
    if (action instanceof LifecycleAction.Place) {
      add(trace, nowMillis, TraceKind.PLACEMENT_ASKED, attempt, Optional.empty());
    } else if (action instanceof LifecycleAction.Withdraw) {
      add(trace, nowMillis, TraceKind.WITHDRAWN, attempt, Optional.empty());
    } else if (action instanceof LifecycleAction.RecordClaim) {
      add(trace, nowMillis, TraceKind.CLAIM_ASKED, attempt, Optional.empty());
    } else if (action instanceof LifecycleAction.SettleClaim) {
      add(trace, nowMillis, TraceKind.CLAIM_SETTLED, attempt, Optional.empty());
    } else if (action instanceof LifecycleAction.RecordSilence silence) {
      Optional<UpstreamName> upstream = Optional.of(silence.upstream());
      add(trace, nowMillis, TraceKind.SILENT, silence.attempt(), upstream);
    } else if (action instanceof LifecycleAction.RecordSilenceOutcome silence) {
      trace.add(
          nowMillis,
          TraceKind.SILENCE_DECIDED,
          silence.attempt(),
          Optional.of(silence.upstream()),
          Optional.of(silence.outcome().code()));
    } else if (action instanceof LifecycleAction.CountRetry retry) {
      String budget = retry.fromBudget() ? "budget" : "free";
      Optional<String> reason = Optional.of(retry.reason().code() + " " + budget);
      trace.add(nowMillis, TraceKind.RETRIED, attempt, Optional.empty(), reason);
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      Optional<String> reason = Optional.of(refuse.refusal().reason().code());
      trace.add(nowMillis, TraceKind.REFUSED, attempt, Optional.empty(), reason);
    } else if (action instanceof LifecycleAction.Complete
        || action instanceof LifecycleAction.DeliverResponse) {
      add(trace, nowMillis, TraceKind.COMPLETED, attempt, Optional.empty());
    }
  }

  private static void add(
      RequestTrace trace,
      long nowMillis,
      TraceKind kind,
      int attempt,
      Optional<UpstreamName> upstream) {
    trace.add(nowMillis, kind, attempt, upstream, Optional.empty());
  }
}
