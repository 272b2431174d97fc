package org.marjoramsail.command.soak;

import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.RequestEnd;

/** What must hold after a soak besides the invariants of every run; each counts its violations. */
@SuppressWarnings("ImmutableEnumChecker") // The functions are constants without state.
public enum SoakCheck {
  /**
   * No sender of a keyed request that was answered before is told that it was not run, and one of
   * which all senders were told so did not run.
   */
  KEYED_NOT_RUN_IS_TRUE(SoakCheck::falselyNotRun),
  /** No engine is given more than it holds; two daemons may decide at once when one failed. */
  NO_OVER_COMMITMENT(
      record ->
          record.faults().stream().anyMatch(fault -> fault.kind().isOfDaemons())
              ? 0
              : record.audit().overCommitments()),
  /** Two crashes, or a third where two daemons learn of the content at the same moment. */
  POISON_IS_CONTAINED(
      record ->
          record.crashesByPoison().stream()
              .filter(crashes -> crashes > SoakCheck.MOST_CRASHES)
              .count()),
  DAEMONS_KEEP_THEIR_INVARIANTS(
      record -> record.daemonViolations().stream().mapToLong(count -> count.orElse(0)).sum()),
  NO_UNHANDLED_EXCEPTION(
      record -> record.unhandled().values().stream().mapToLong(Long::longValue).sum());

  private static final int MOST_CRASHES = 3;

  private final ToLongFunction<SoakRecord> violations;

  SoakCheck(ToLongFunction<SoakRecord> violations) {
    this.violations = violations;
  }

  /** How often a run broke it. */
  long violations(SoakRecord record) {
    return violations.applyAsLong(record);
  }

  /** Its name in reports: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static long falselyNotRun(SoakRecord record) {
    return record.sendsByKey().values().stream()
        .filter(sends -> isRunDenied(sends, record.audit()))
        .count();
  }

  private static boolean isRunDenied(List<Observation> sends, FleetAudit audit) {
    String reference = sends.get(0).outcome().request().reference();
    boolean ran = audit.runsByReference().getOrDefault(reference, 0) > 0;
    boolean deniedToAll = sends.stream().allMatch(send -> send.outcome().isToldNotRun());
    return (ran && deniedToAll)
        || sends.stream().anyMatch(send -> isDeniedAfterAnswer(send, sends));
  }

  private static boolean isDeniedAfterAnswer(Observation send, List<Observation> sends) {
    return send.outcome().isToldNotRun()
        && sends.stream()
            .filter(other -> other.outcome().end() == RequestEnd.COMPLETED)
            .anyMatch(other -> other.endMillis() < send.sentMillis());
  }
}
