package org.marjoramsail.standin.plain;

import java.util.Map;

/**
 * What a plain service stand-in has done since it was made, over all its incarnations; for checks.
 *
 * @param name the service
 * @param incarnation its present incarnation
 * @param runsByRequest how often each value of the request header ran
 * @param runsByReference how often each ballot or reference named in a body ran
 * @param runs requests that took effect
 * @param answersLost requests that took effect and whose answer was not sent
 * @param slots how many it may run at once
 * @param held how many it holds, waiting ones included
 * @param mostHeld the most that it has held
 * @param overCommitments requests accepted while all slots were held
 * @param refused requests refused as not run
 * @param crashes how often it crashed
 */
public record PlainAudit(
    String name,
    long incarnation,
    Map<String, Integer> runsByRequest,
    Map<String, Integer> runsByReference,
    long runs,
    long answersLost,
    int slots,
    int held,
    int mostHeld,
    long overCommitments,
    long refused,
    long crashes) {

  /** Copies the maps, so that the value cannot change. */
  public PlainAudit {
    runsByRequest = Map.copyOf(runsByRequest);
    runsByReference = Map.copyOf(runsByReference);
  }

  /** How many ballots and references ran more than once. */
  public long doubledReferences() {
    return runsByReference.values().stream().filter(count -> count > 1).count();
  }
}
