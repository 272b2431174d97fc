package org.marjoramsail.standin.plain;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Counts for {@link PlainAudit}; read by any thread, so each method holds its lock. */
final class PlainBook {

  private final Map<String, Integer> runsByRequest = new HashMap<>();
  private final Map<String, Integer> runsByReference = new HashMap<>();
  private long incarnation;
  private long runs;
  private long answersLost;
  private int held;
  private int mostHeld;
  private long overCommitments;
  private long refused;
  private long crashes;

  synchronized void incarnated(long newIncarnation) {
    incarnation = newIncarnation;
  }

  synchronized void accepted(int slots) {
    if (held >= slots) {
      overCommitments++;
    }
    held++;
    mostHeld = Math.max(mostHeld, held);
  }

  synchronized void released() {
    held--;
  }

  /** Counts a run and says how often this reference has run. */
  synchronized int ran(Optional<String> request, Optional<String> reference) {
    runs++;
    request.ifPresent(name -> runsByRequest.merge(name, 1, Integer::sum));
    return reference.map(name -> runsByReference.merge(name, 1, Integer::sum)).orElse(1);
  }

  synchronized void answerLost() {
    answersLost++;
  }

  synchronized void refused() {
    refused++;
  }

  synchronized void crashed() {
    crashes++;
  }

  /** Nothing is held any more. */
  synchronized void lost() {
    held = 0;
  }

  synchronized PlainAudit read(String name, int slots) {
    return new PlainAudit(
        name,
        incarnation,
        runsByRequest,
        runsByReference,
        runs,
        answersLost,
        slots,
        held,
        mostHeld,
        overCommitments,
        refused,
        crashes);
  }
}
