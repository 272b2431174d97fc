package org.marjoramsail.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.outcome.DropReason;
import org.marjoramsail.core.outcome.Invariant;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.LifecycleState;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.SilenceOutcome;
import org.marjoramsail.daemon.request.LatencyViolation;

/**
 * Metrics of requests.
 *
 * <p>The counters of all reasons are registered at the start, so that their rates are defined
 * before the first event.
 */
public final class RequestMetrics {

  private static final String PREFIX = "marjoramsail.";

  private final Map<RunState, Map<RefusalReason, Counter>> refused = new EnumMap<>(RunState.class);
  private final Map<RefusalReason, Counter> brokenOff;
  private final Map<LifecycleState, Counter> silentAttempts;
  private final Map<SilenceOutcome, Counter> silenceOutcomes;
  private final Map<RetryReason, Counter> retries;
  private final Map<LifecycleState, Counter> droppedRequests = new EnumMap<>(LifecycleState.class);
  private final Map<DropReason, Counter> drops;
  private final Map<LatencyViolation, Counter> latencyViolations;
  private final Counter budgetedRetries;
  private final Counter freeRetries;
  private final Counter failedInternally;
  private final Counter accepted;
  private final Counter completed;
  private final Counter withinTargets;
  private final Counter tokens;
  private final Timer firstToken;
  private final Timer betweenTokens;
  private final Timer plainResponse;
  private final OutcomesByRule outcomesByRule;
  private final MeterRegistry registry;

  /**
   * Registers all counters and timers.
   *
   * @param registry the registry of the meters
   * @param invariants the source of the violation counters
   */
  public RequestMetrics(MeterRegistry registry, Invariants invariants) {
    this.registry = registry;
    this.outcomesByRule = new OutcomesByRule(registry);
    for (RunState run : RunState.values()) {
      refused.put(run, refusals(registry, run));
    }
    for (LifecycleState state : LifecycleState.values()) {
      droppedRequests.put(
          state, registry.counter(PREFIX + "requests.dropped", "state", state.code()));
    }
    this.brokenOff =
        perReason(registry, RefusalReason.class, "requests.broken.off", RefusalReason::code);
    this.silentAttempts = silentAttempts(registry);
    this.silenceOutcomes =
        perReason(registry, SilenceOutcome.class, "attempts.silent.outcomes", SilenceOutcome::code);
    this.retries = perReason(registry, RetryReason.class, "retries", RetryReason::code);
    this.budgetedRetries = registry.counter(PREFIX + "retries.by.budget", "budget", "drawn");
    this.freeRetries = registry.counter(PREFIX + "retries.by.budget", "budget", "free");
    this.drops = perReason(registry, DropReason.class, "drops", DropReason::code);
    this.latencyViolations =
        perReason(registry, LatencyViolation.class, "requests.late", LatencyViolation::code);
    this.failedInternally = registry.counter(PREFIX + "requests.failed.internally");
    this.accepted = registry.counter(PREFIX + "requests.accepted");
    this.completed = registry.counter(PREFIX + "requests.completed");
    this.withinTargets = registry.counter(PREFIX + "requests.within.targets");
    this.tokens = registry.counter(PREFIX + "tokens");
    this.firstToken = timer(registry, "first.token");
    this.betweenTokens = timer(registry, "between.tokens");
    this.plainResponse = timer(registry, "plain.answer");
    for (Invariant invariant : Invariant.values()) {
      registry
          .more()
          .counter(
              PREFIX + "invariant.violations",
              Tags.of("invariant", invariant.code()),
              invariants,
              current -> current.violations(invariant));
    }
  }

  private static Map<RefusalReason, Counter> refusals(MeterRegistry registry, RunState run) {
    Map<RefusalReason, Counter> counters = new EnumMap<>(RefusalReason.class);
    for (RefusalReason reason : RefusalReason.values()) {
      counters.put(
          reason,
          registry.counter(
              PREFIX + "requests.refused", "reason", reason.code(), "run", run.code()));
    }
    return counters;
  }

  private static Map<LifecycleState, Counter> silentAttempts(MeterRegistry registry) {
    Map<LifecycleState, Counter> counters = new EnumMap<>(LifecycleState.class);
    Arrays.stream(LifecycleState.values())
        .filter(LifecycleState::isRunning)
        .forEach(
            phase ->
                counters.put(
                    phase, registry.counter(PREFIX + "attempts.silent", "phase", phase.code())));
    return counters;
  }

  private static <R extends Enum<R>> Map<R, Counter> perReason(
      MeterRegistry registry, Class<R> type, String name, Function<R, String> code) {
    Map<R, Counter> counters = new EnumMap<>(type);
    Arrays.stream(type.getEnumConstants())
        .forEach(
            reason ->
                counters.put(
                    reason, registry.counter(PREFIX + name, "reason", code.apply(reason))));
    return counters;
  }

  private static Timer timer(MeterRegistry registry, String name) {
    return Timer.builder(PREFIX + name).publishPercentileHistogram().register(registry);
  }

  /** Registers a gauge of the running requests. */
  public void registerRunning(IntSupplier running) {
    registry.gauge(PREFIX + "requests.running", running, IntSupplier::getAsInt);
  }

  /** Counts an accepted request. */
  public void accepted(RequestProfile profile) {
    accepted.increment();
    outcomesByRule.count(profile, OutcomesByRule.Outcome.ACCEPTED);
  }

  /**
   * Counts a request with a complete response.
   *
   * @param isWithinTargets true if the request met the latency targets of its rule
   */
  public void completed(RequestProfile profile, boolean isWithinTargets) {
    completed.increment();
    if (isWithinTargets) {
      withinTargets.increment();
    }
    outcomesByRule.count(
        profile,
        isWithinTargets ? OutcomesByRule.Outcome.WITHIN_TARGETS : OutcomesByRule.Outcome.LATE);
  }

  /** Counts a request that violated its latency targets. */
  public void latencyViolated(LatencyViolation cause) {
    latencyViolations.get(cause).increment();
  }

  /** Counts a request that was refused before a rule matched it. */
  public void refused(Refusal refusal) {
    refused.get(refusal.runState()).get(refusal.reason()).increment();
  }

  /** Counts a refused request. */
  public void refused(RequestProfile profile, Refusal refusal) {
    refused(refusal);
    outcomesByRule.count(profile, OutcomesByRule.Outcome.REFUSED);
  }

  /** Counts a request whose output was broken off after its caller was sent a part of it. */
  public void brokenOff(Refusal refusal) {
    brokenOff.get(refusal.reason()).increment();
  }

  /** Counts an exception that was thrown while a request was handled. */
  public void failedInternally() {
    failedInternally.increment();
  }

  /** Counts an attempt that has made no progress for too long. */
  public void silent(LifecycleState phase) {
    silentAttempts.get(phase).increment();
  }

  /** Counts what became of an attempt that had made no progress for too long. */
  public void silenceEnded(SilenceOutcome outcome) {
    silenceOutcomes.get(outcome).increment();
  }

  /** Returns the number of refused requests by reason, over all run states. */
  public Map<RefusalReason, Long> refusals() {
    Map<RefusalReason, Long> counts = new EnumMap<>(RefusalReason.class);
    refused
        .values()
        .forEach(
            counters ->
                counters.forEach(
                    (reason, counter) -> counts.merge(reason, (long) counter.count(), Long::sum)));
    return counts;
  }

  /** Returns the number of retries by reason. */
  public Map<RetryReason, Long> retries() {
    Map<RetryReason, Long> counts = new EnumMap<>(RetryReason.class);
    retries.forEach((reason, counter) -> counts.put(reason, (long) counter.count()));
    return counts;
  }

  /**
   * Counts a retry.
   *
   * @param fromBudget whether it repeats a call, so that its placement needs retry budget
   */
  public void retried(RetryReason reason, boolean fromBudget) {
    retries.get(reason).increment();
    (fromBudget ? budgetedRetries : freeRetries).increment();
  }

  /** Counts a request that is not passed on since its caller has left. */
  public void dropped(LifecycleState state) {
    droppedRequests.get(state).increment();
  }

  /** Counts a dropped event or cancel. */
  public void dropped(DropReason reason) {
    drops.get(reason).increment();
  }

  /** Records the time from the receipt of a request to its first token. */
  public void firstToken(long millis) {
    tokens.increment();
    firstToken.record(millis, TimeUnit.MILLISECONDS);
  }

  /** Records the time between a token and the previous one. */
  public void subsequentToken(long millis) {
    tokens.increment();
    betweenTokens.record(millis, TimeUnit.MILLISECONDS);
  }

  /** Records the time from the receipt of a request to its response without streaming. */
  public void plainResponse(long millis) {
    plainResponse.record(millis, TimeUnit.MILLISECONDS);
  }
}
