package org.marjoramsail.core.claim;

import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * Result of a claim.
 *
 * @param kind kind of the result, which decides whether the request may run
 * @param outcome outcome of the earlier request; only with {@code COMPLETED_BEFORE}
 * @param holder the daemon that may be running the request; only with {@code RUNNING_ELSEWHERE}
 */
public record ClaimResult(Kind kind, Optional<ClaimOutcome> outcome, Optional<DaemonId> holder) {

  /** Kinds of results. */
  public enum Kind {
    /** The claim is recorded: this daemon alone may run the request. */
    GRANTED,
    /** The request ran earlier and its caller got a response. */
    COMPLETED_BEFORE,
    /** Another claim of the key is recorded and has no outcome yet. */
    RUNNING_ELSEWHERE,
    /** The request may have run earlier. */
    UNKNOWN_BEFORE,
    /** The key was used with a different body. */
    CONFLICTING_BODY,
    /** Nothing was recorded; the request must not run. */
    STORE_UNAVAILABLE,
    /** It was unknown at the deadline whether the claim is recorded; the request must not run. */
    UNCERTAIN
  }

  /** Returns a result without an outcome and a holder. */
  public static ClaimResult of(Kind kind) {
    return new ClaimResult(kind, Optional.empty(), Optional.empty());
  }

  /** Returns the result of a claim whose key was recorded for a claim of another identifier. */
  static ClaimResult ofEntry(ClaimEntry entry) {
    return switch (entry.state()) {
      case CLAIMED ->
          new ClaimResult(
              Kind.RUNNING_ELSEWHERE, Optional.empty(), Optional.of(entry.id().daemon()));
      case COMPLETED ->
          new ClaimResult(
              Kind.COMPLETED_BEFORE,
              Optional.of(new ClaimOutcome(entry.state(), entry.status(), entry.summary())),
              Optional.empty());
      case UNKNOWN -> of(Kind.UNKNOWN_BEFORE);
      case NOT_RUN ->
          throw new IllegalArgumentException(
              "NOT_RUN leaves the key free, so it is no result of another claim.");
    };
  }
}
