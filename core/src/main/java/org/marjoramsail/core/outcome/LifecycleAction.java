package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.PlacementRequest;

/** Action that the I/O layer has to perform for a request. */
public sealed interface LifecycleAction {

  /** Records the claim; a claim event reports the result. */
  record RecordClaim() implements LifecycleAction {}

  /**
   * Records how a claimed request ended.
   *
   * @param outcome the outcome
   */
  record SettleClaim(ClaimOutcome outcome) implements LifecycleAction {}

  /**
   * Requests upstreams from placement.
   *
   * @param request the placement request
   */
  record Place(PlacementRequest request) implements LifecycleAction {}

  /**
   * Withdraws an attempt that waits for placement, or was granted and not sent to an upstream.
   *
   * @param request identifier under which it is placed
   */
  record Withdraw(RequestId request) implements LifecycleAction {}

  /**
   * Reports the progress or the end of an attempt to placement.
   *
   * @param report the report
   */
  record Report(AttemptReport report) implements LifecycleAction {}

  /**
   * Sends the prompt to a prefill upstream.
   *
   * @param attempt number of the attempt
   * @param upstream the prefill upstream
   */
  record SendPrefill(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Sends the request to a decode upstream.
   *
   * @param attempt number of the attempt
   * @param upstream the decode upstream
   * @param startIndex index of the first token that is required
   * @param requiredVersion the only software version that may continue the output; empty for any
   * @param kv the KV cache; where it is absent the upstream prefills the prompt itself
   */
  record SendDecode(
      int attempt,
      UpstreamName upstream,
      int startIndex,
      Optional<SoftwareVersion> requiredVersion,
      Optional<KvSource> kv)
      implements LifecycleAction {}

  /**
   * Sends the request to a plain service.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream
   */
  record SendPlain(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Closes this daemon's connection for an attempt, if any.
   *
   * @param attempt number of the attempt
   */
  record CloseAttempt(int attempt) implements LifecycleAction {}

  /**
   * Makes an upstream release the resources of an attempt; an event reports the confirmation.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream
   */
  record Cancel(int attempt, UpstreamName upstream) implements LifecycleAction {}

  /**
   * Records the software version of the output, before its first token is sent to the caller.
   *
   * @param version the version
   */
  record RecordVersion(SoftwareVersion version) implements LifecycleAction {}

  /**
   * Sends the next token to the caller.
   *
   * @param attempt the attempt that gave it
   * @param index index of the token
   * @param text text of the token
   */
  record EmitToken(int attempt, int index, String text) implements LifecycleAction {}

  /**
   * Ends the output successfully.
   *
   * @param completion token counts and finish reason
   */
  record Complete(Completion completion) implements LifecycleAction {}

  /**
   * Sends the kept response of an upstream to the caller.
   *
   * @param attempt the attempt that received it
   */
  record DeliverResponse(int attempt) implements LifecycleAction {}

  /**
   * Ends the request with a refusal.
   *
   * @param refusal reason and run state
   */
  record Refuse(Refusal refusal) implements LifecycleAction {}

  /**
   * Counts a retry.
   *
   * @param reason reason of the retry
   * @param fromBudget whether it repeats a call, so that its placement needs retry budget
   */
  record CountRetry(RetryReason reason, boolean fromBudget) implements LifecycleAction {}

  /**
   * Records that an attempt has made no progress for too long.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream that works on it
   * @param phase what the upstream is doing
   * @param emittedTokens number of tokens that the caller was sent
   */
  record RecordSilence(int attempt, UpstreamName upstream, LifecycleState phase, int emittedTokens)
      implements LifecycleAction {}

  /**
   * Records what became of an attempt that had made no progress for too long.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream that worked on it
   * @param outcome what became of it
   */
  record RecordSilenceOutcome(int attempt, UpstreamName upstream, SilenceOutcome outcome)
      implements LifecycleAction {}

  /**
   * Counts a dropped event or cancel.
   *
   * @param reason reason of the drop
   */
  record CountDrop(DropReason reason) implements LifecycleAction {}
}
