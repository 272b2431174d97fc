package org.marjoramsail.core.claim;

import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * What a claim led to.
 *
 * @param kind what the claimant may do
 * @param outcome how the request ended before; only with {@code COMPLETED_BEFORE}
 * @param holder the daemon that may be running it; only with {@code RUNNING_ELSEWHERE}
 */
public record ClaimResult(Kind kind, Optional<ClaimOutcome> outcome, Optional<DaemonId> holder) {

  /** What the claimant may do. */
  public enum Kind {
    /** The claim is recorded: this daemon alone may run the request. */
    GRANTED,
    /** The request ran and was answered. */
    COMPLETED_BEFORE,
    /** Another claim of the key is recorded and not settled. */
    RUNNING_ELSEWHERE,
    /** The request may have run. */
    UNKNOWN_BEFORE,
    /** The key was used with another body. */
    CONFLICTING_BODY,
    /** Nothing was recorded; the request must not run. */
    STORE_UNAVAILABLE,
    /** It could not be settled in time whether the claim is recorded; the request must not run. */
    UNCERTAIN
  }

  /** A result that needs no more words. */
  public static ClaimResult of(Kind kind) {
    return new ClaimResult(kind, Optional.empty(), Optional.empty());
  }

  /** What a recorded entry of the key means for a claim of another identifier. */
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
      case NOT_RUN -> throw new IllegalArgumentException("A key that was not run is free.");
    };
  }
}
