package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.PlacementRequest;

/** What the shell has to do for a request, in the given order. */
public sealed interface LifecycleAction {

  /** Records the claim; answered by a claim event. */
  record RecordClaim() implements LifecycleAction {}

  /**
   * Records how a claimed request ended.
   *
   * @param outcome how
   */
  record SettleClaim(ClaimOutcome outcome) implements LifecycleAction {}

  /**
   * Asks placement for upstreams.
   *
   * @param request what is asked
   */
  record Place(PlacementRequest request) implements LifecycleAction {}

  /**
   * Gives up an attempt that waits for placement.
   *
   * @param request whose
   */
  record Withdraw(RequestId request) implements LifecycleAction {}

  /**
   * Tells placement how far an attempt is.
   *
   * @param report what is told
   */
  record Report(AttemptReport report) implements LifecycleAction {}

  /**
   * Sends the prompt to a prefill upstream.
   *
   * @param attempt which attempt
   * @param upstream where to
   */
  record SendPrefill(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Sends the request to a decode upstream.
   *
   * @param attempt which attempt
   * @param upstream where to
   * @param startIndex index of the first token that is wanted
   * @param kv where the KV cache is; the upstream reads the prompt itself when absent
   */
  record SendDecode(int attempt, UpstreamName upstream, int startIndex, Optional<KvSource> kv)
      implements LifecycleAction {}

  /**
   * Sends the request to a plain service.
   *
   * @param attempt which attempt
   * @param upstream where to
   */
  record SendPlain(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Closes this daemon's connection for an attempt, if any.
   *
   * @param attempt which attempt
   */
  record CloseAttempt(int attempt) implements LifecycleAction {}

  /**
   * Tells an upstream to drop what it holds of an attempt; answered by an event when confirmed.
   *
   * @param attempt which attempt
   * @param upstream where
   */
  record Cancel(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Gives the caller its next token.
   *
   * @param index its index
   * @param text its text
   */
  record EmitToken(int index, String text) implements LifecycleAction {}

  /**
   * Ends the answer, whole.
   *
   * @param completion its figures
   */
  record Complete(Completion completion) implements LifecycleAction {}

  /**
   * Gives the caller the answer of a plain service.
   *
   * @param attempt the attempt that got it
   */
  record DeliverResponse(int attempt) implements LifecycleAction {}

  /**
   * Ends without the whole answer.
   *
   * @param refusal why and what is known
   */
  record Refuse(Refusal refusal) implements LifecycleAction {}

  /**
   * Counts a retry.
   *
   * @param reason why
   */
  record CountRetry(RetryReason reason) implements LifecycleAction {}

  /**
   * Counts something that was dropped.
   *
   * @param reason why
   */
  record CountDrop(DropReason reason) implements LifecycleAction {}
}
