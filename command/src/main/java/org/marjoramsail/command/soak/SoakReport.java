package org.marjoramsail.command.soak;

import java.util.List;
import java.util.Map;
import org.marjoramsail.standin.load.LoadReport;

/**
 * What came of a soak.
 *
 * @param load what came of all requests, those sent again included
 * @param faults how many faults of each kind happened
 * @param resent how many keyed requests were sent again after their connection was cut
 * @param crashesByPoison how many engines each poisonous prompt has crashed
 * @param silentDaemons how many daemons do not say whether their own invariants held
 * @param unhandled exceptions that no code handled, and how often
 * @param violations broken checks and how often; empty after a good run
 * @param examples broken requests, each with the faults that were near
 */
public record SoakReport(
    LoadReport load,
    Map<SoakFault, Long> faults,
    long resent,
    List<Integer> crashesByPoison,
    long silentDaemons,
    Map<String, Long> unhandled,
    Map<SoakCheck, Long> violations,
    List<String> examples) {

  /** Whether everything held that must. */
  public boolean isClean() {
    return load.isClean() && violations.isEmpty();
  }
}
