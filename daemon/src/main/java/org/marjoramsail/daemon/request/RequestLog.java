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
  public static final long SAMPLE = 32;

  private static final Set<TraceKind> REMARKABLE =
      Set.of(
          TraceKind.UPSTREAM_FAILED,
          TraceKind.RETRIED,
          TraceKind.REFUSED,
          TraceKind.CALLER_GONE,
          TraceKind.CANCEL_SENT);

  private final Supplier<String> beliefs;
  private final AtomicLong ordinary = new AtomicLong();

  /**
   * Creates an instance with what is believed.
   *
   * @param beliefs says in a word which configuration and list were in force and how old they are
   */
  public RequestLog(Supplier<String> beliefs) {
    this.beliefs = beliefs;
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
        .addKeyValue("beliefs", beliefs.get())
        .log("request refused");
  }

  /** Writes the way of a request that has ended. */
  void ended(RequestSnapshot snapshot, Optional<LatencyViolation> violation) {
    boolean remarkable =
        snapshot.steps().stream().anyMatch(step -> REMARKABLE.contains(step.kind()))
            || violation.isPresent();
    if (!remarkable && ordinary.getAndIncrement() % SAMPLE != 0) {
      return;
    }
    StringJoiner way = new StringJoiner("; ");
    for (TraceStep step : snapshot.steps()) {
      StringBuilder text = new StringBuilder();
      text.append(step.afterMillis()).append(" ms ").append(step.kind().code());
      text.append(" #").append(step.attempt());
      step.upstream().ifPresent(upstream -> text.append(' ').append(upstream.value()));
      step.reason().ifPresent(reason -> text.append(' ').append(reason));
      way.add(text);
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
        .addKeyValue("sampled", !remarkable)
        .addKeyValue("way", way.toString())
        .addKeyValue("beliefs", beliefs.get())
        .log("request ended");
  }
}
