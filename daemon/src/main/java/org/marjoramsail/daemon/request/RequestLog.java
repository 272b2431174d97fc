package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.outcome.RequestProfile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what an operator needs to explain a request afterwards.
 *
 * <p>Ordinary requests that are answered at the first try would drown the others, so of these one
 * in some is written; whatever was refused, repeated, late or left by its caller is written whole,
 * in one line with each step, its time and its upstream.
 */
public final class RequestLog {

  private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);

  /** One in so many ordinary requests is written. */
  public static final long SAMPLING_INTERVAL = 32;

  private static final Set<TraceKind> ALWAYS_LOGGED =
      Set.of(
          TraceKind.UPSTREAM_FAILED,
          TraceKind.RETRIED,
          TraceKind.REFUSED,
          TraceKind.CALLER_GONE,
          TraceKind.CANCEL_SENT);

  private final Supplier<String> configurationSummary;
  private final AtomicLong ordinaryRequests = new AtomicLong();

  /**
   * Creates an instance with what is believed.
   *
   * @param configurationSummary says in a word which configuration and list were in force and how
   *     old they are
   */
  public RequestLog(Supplier<String> configurationSummary) {
    this.configurationSummary = configurationSummary;
  }

  /** Writes a refusal with what led to it. */
  void refused(RequestProfile profile, Refusal refusal) {
    LOG.atInfo()
        .addKeyValue("request", profile.id().value())
        .addKeyValue("service", profile.service())
        .addKeyValue("rule", profile.rule())
        .addKeyValue("reason", refusal.reason().code())
        .addKeyValue("run", refusal.runState().code())
        .addKeyValue("retryAfterMillis", refusal.retryAfterMillis().orElse(-1L))
        .addKeyValue("detail", refusal.detail())
        .addKeyValue("beliefs", configurationSummary.get())
        .log("request refused");
  }

  /** Writes the way of a request that has ended. */
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
