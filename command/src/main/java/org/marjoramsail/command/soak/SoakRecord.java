package org.marjoramsail.command.soak;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marjoramsail.standin.engine.EngineAudit;
import org.marjoramsail.standin.engine.TokenText;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.Prompt;

/**
 * All that was seen in a soak, before judgement.
 *
 * @param faults what was done to the fleet
 * @param planned ends of the workload's requests
 * @param resent ends of keyed requests that were sent again
 * @param poisoned ends of requests that crash engines
 * @param poisons the prompts of these
 * @param audit what all servers counted, merged
 * @param engines what each engine counted
 * @param daemonViolations how often an invariant broke inside each daemon, where that is known
 * @param unhandled exceptions that no code handled, and how often
 * @param durationMillis for how long requests were planned
 */
record SoakRecord(
    List<PlannedFault> faults,
    List<Observation> planned,
    List<Observation> resent,
    List<Observation> poisoned,
    List<Prompt> poisons,
    FleetAudit audit,
    List<EngineAudit> engines,
    List<OptionalLong> daemonViolations,
    Map<String, Long> unhandled,
    long durationMillis) {

  /** How many engines each poisonous prompt has crashed, in the order in which they were sent. */
  List<Integer> crashesByPoison() {
    return poisons.stream().map(this::crashes).toList();
  }

  /** All sends of each keyed request, by its reference. */
  Map<String, List<Observation>> sendsByKey() {
    return Stream.concat(planned.stream(), resent.stream())
        .filter(send -> send.outcome().request().idempotencyKey().isPresent())
        .collect(Collectors.groupingBy(send -> send.outcome().request().reference()));
  }

  /** How many daemons do not say whether their invariants held. */
  long silentDaemons() {
    return daemonViolations.stream().filter(OptionalLong::isEmpty).count();
  }

  private int crashes(Prompt poison) {
    long seed = TokenText.seed(poison.text());
    return engines.stream()
        .mapToInt(engine -> engine.crashesByPrompt().getOrDefault(seed, 0))
        .sum();
  }
}
