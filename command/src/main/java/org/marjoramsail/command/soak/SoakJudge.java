package org.marjoramsail.command.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marjoramsail.standin.engine.EngineAudit;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.RequestEnd;
import org.marjoramsail.standin.load.RequestOutcome;

/** Judges what was seen in a soak. */
final class SoakJudge {

  private static final int MOST_EXAMPLES = 20;
  private static final int MOST_NEAR = 4;
  private static final long NEAR_MILLIS = 1_000;

  /** The workload and the faults begin so far apart at most. */
  private static final long CLOCK_MILLIS = 250;

  private final SoakRecord record;
  private final List<Observation> judged;

  private SoakJudge(SoakRecord record) {
    this.record = record;
    this.judged =
        Stream.of(record.planned(), record.resent(), record.poisoned())
            .flatMap(List::stream)
            .map(this::judgeCut)
            .toList();
  }

  static SoakReport judge(SoakRecord record) {
    return new SoakJudge(record).report();
  }

  private SoakReport report() {
    List<RequestOutcome> outcomes = judged.stream().map(Observation::outcome).toList();
    LoadReport load = LoadReport.of(outcomes, record.audit(), record.durationMillis());
    Map<SoakFault, Long> faults =
        record.faults().stream()
            .collect(
                Collectors.groupingBy(
                    PlannedFault::kind,
                    () -> new EnumMap<>(SoakFault.class),
                    Collectors.counting()));
    Map<SoakCheck, Long> violations = new EnumMap<>(SoakCheck.class);
    for (SoakCheck check : SoakCheck.values()) {
      long count = check.violations(record);
      if (count > 0) {
        violations.put(check, count);
      }
    }
    return new SoakReport(
        load,
        faults,
        record.resent().size(),
        record.crashesByPoison(),
        record.silentDaemons(),
        record.unhandled(),
        violations,
        examples());
  }

  /** A cut is no fault of the system when the very daemon that held the connection was ended. */
  private Observation judgeCut(Observation observation) {
    RequestOutcome outcome = observation.outcome();
    boolean died =
        outcome.end() == RequestEnd.CUT
            && record.faults().stream()
                .filter(fault -> fault.kind() == SoakFault.DAEMON_KILL)
                .filter(fault -> outcome.target().equals(Optional.of(nameOf(fault))))
                .anyMatch(fault -> isNear(fault, observation));
    return died
        ? new Observation(observation.baseMillis(), outcome.withEnd(RequestEnd.DAEMON_DIED))
        : observation;
  }

  private static String nameOf(PlannedFault fault) {
    return fault.target().name();
  }

  private static boolean isNear(PlannedFault fault, Observation observation) {
    return fault.overlaps(
        observation.sentMillis() - NEAR_MILLIS, observation.endMillis() + CLOCK_MILLIS);
  }

  private List<String> examples() {
    List<String> examples = new ArrayList<>();
    judged.stream()
        .filter(this::isBroken)
        .limit(MOST_EXAMPLES)
        .map(this::describe)
        .forEach(examples::add);
    record.engines().stream()
        .filter(engine -> !engine.isHoldingNothing())
        .map(SoakJudge::describe)
        .forEach(examples::add);
    return examples;
  }

  private boolean isBroken(Observation observation) {
    RequestOutcome outcome = observation.outcome();
    boolean ran = outcome.requestId().filter(record.audit().requestsRun()::contains).isPresent();
    boolean runTwice =
        !outcome.request().kind().repeatability().isResendable()
            && record.audit().runsByReference().getOrDefault(outcome.request().reference(), 0) > 1;
    return outcome.end().isViolation() || (outcome.isToldNotRun() && ran) || runTwice;
  }

  private String describe(Observation observation) {
    RequestOutcome outcome = observation.outcome();
    String near =
        record.faults().stream()
            .filter(fault -> isNear(fault, observation))
            .sorted((one, other) -> Long.compare(rank(other, outcome), rank(one, outcome)))
            .limit(MOST_NEAR)
            .map(PlannedFault::toString)
            .collect(Collectors.joining("; "));
    return "%s %s (%s) by %s at %d-%d ms, reason %s, run %s: %s; near: %s"
        .formatted(
            outcome.end().code(),
            outcome.request().reference(),
            outcome.requestId().orElse("no identifier"),
            outcome.target().orElse("no daemon"),
            observation.sentMillis(),
            observation.endMillis(),
            outcome.reason().orElse("-"),
            outcome.run().orElse("-"),
            outcome.detail(),
            near);
  }

  /** Faults of the daemon that was asked come first, then those that began last. */
  private static long rank(PlannedFault fault, RequestOutcome outcome) {
    boolean ofDaemon = outcome.target().filter(nameOf(fault)::equals).isPresent();
    return ofDaemon ? Long.MAX_VALUE : fault.atMillis();
  }

  private static String describe(EngineAudit engine) {
    return "%s still holds %d attempts and %d bytes of KV cache"
        .formatted(engine.name(), engine.held(), engine.heldKvBytes());
  }
}
