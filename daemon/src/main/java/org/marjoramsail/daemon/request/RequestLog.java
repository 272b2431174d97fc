package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.RequestProfile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the trace of ended requests, from which an operator can explain them.
 *
 * <p>Requests that were refused, retried, late, cancelled or abandoned by the caller are always
 * logged, in one line with the time and the upstream of each step. Of all other requests only a
 * sample is logged.
 */
public final class RequestLog {

  private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);

  /** One of this number of ordinary requests is logged. */
  public static final long SAMPLING_INTERVAL = 32;

  private static final Set<TraceKind> ALWAYS_LOGGED =
      Set.of(
          TraceKind.UPSTREAM_FAILED,
          TraceKind.RETRIED,
          TraceKind.SILENT,
          TraceKind.REFUSED,
          TraceKind.CALLER_GONE,
          TraceKind.CANCEL_SENT);

  private final Supplier<String> configurationSummary;
  private final AtomicLong ordinaryRequests = new AtomicLong();

  /**
   * Creates a log.
   *
   * @param configurationSummary describes the configuration and the upstream list in use
   */
  public RequestLog(Supplier<String> configurationSummary) {
    this.configurationSummary = configurationSummary;
  }

  /**
   * Logs a refusal and its reason.
   *
   * @param hasBegun whether the caller was sent a part of the output, which the refusal breaks off
   */
  void refused(RequestProfile profile, Refusal refusal, boolean hasBegun) {
    LOG.atInfo()
        .addKeyValue("request", profile.id().value())
        .addKeyValue("service", profile.service())
        .addKeyValue("rule", profile.rule())
        .addKeyValue("promptTokens", profile.promptTokens())
        .addKeyValue("outputTokens", profile.outputTokens())
        .addKeyValue("reason", refusal.reason().code())
        .addKeyValue("run", refusal.runState().code())
        .addKeyValue("brokenOff", hasBegun)
        .addKeyValue("retryAfterMillis", refusal.retryAfterMillis().orElse(-1L))
        .addKeyValue("detail", refusal.detail())
        .addKeyValue("beliefs", configurationSummary.get())
        .log("request refused");
  }

  /** Logs that an attempt has made no progress for too long. */
  void silent(RequestProfile profile, LifecycleAction.RecordSilence silence) {
    LOG.atInfo()
        .addKeyValue("request", profile.id().value())
        .addKeyValue("attempt", silence.attempt())
        .addKeyValue("upstream", silence.upstream())
        .addKeyValue("phase", silence.phase().code())
        .addKeyValue("pieces", silence.emittedTokens())
        .log("attempt silent");
  }

  /** Logs what became of an attempt that had made no progress for too long. */
  void silenceEnded(RequestProfile profile, LifecycleAction.RecordSilenceOutcome silence) {
    LOG.atInfo()
        .addKeyValue("request", profile.id().value())
        .addKeyValue("attempt", silence.attempt())
        .addKeyValue("upstream", silence.upstream())
        .addKeyValue("outcome", silence.outcome().code())
        .log("silent attempt decided");
  }

  /** Logs an exception that was thrown while a request was handled. */
  void failedInternally(RequestProfile profile, Throwable failure) {
    LOG.atError()
        .addKeyValue("request", profile.id().value())
        .addKeyValue("service", profile.service())
        .setCause(failure)
        .log("request failed internally");
  }

  /** Logs the trace of an ended request. */
  void ended(RequestSnapshot snapshot, Optional<LatencyViolation> violation) {
    boolean alwaysLogged =
        snapshot.steps().stream().anyMatch(step -> ALWAYS_LOGGED.contains(step.kind()))
            || violation.isPresent();
    if (!alwaysLogged && ordinaryRequests.getAndIncrement() % SAMPLING_INTERVAL != 0) {
      return;
    }
    StringJoiner trace = new StringJoiner("; ");
    for (TraceStep step : snapshot.steps()) {
      StringBuilder text = new StringBuilder();
      text.append(step.afterMillis()).append(" ms ").append(step.kind().code());
      text.append(" #").append(step.attempt());
      step.upstream().ifPresent(upstream -> text.append(' ').append(upstream.value()));
      step.reason().ifPresent(reason -> text.append(' ').append(reason));
      trace.add(text);
    }
    LOG.atInfo()
        .addKeyValue("request", snapshot.request().value())
        .addKeyValue("service", snapshot.service())
        .addKeyValue("rule", snapshot.rule())
        .addKeyValue("attempts", snapshot.attempt())
        .addKeyValue("pieces", snapshot.emittedTokens())
        .addKeyValue("tookMillis", snapshot.ageMillis())
        .addKeyValue("late", violation.map(LatencyViolation::code).orElse("no"))
        .addKeyValue(
            "longestPause", snapshot.longestGap().map(InterChunkGap::toString).orElse("none"))
        .addKeyValue("sampled", !alwaysLogged)
        .addKeyValue("way", trace.toString())
        .addKeyValue("beliefs", configurationSummary.get())
        .log("request ended");
  }
}
