package org.marjoramsail.core.outcome;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;

/** What happens to a request. */
public sealed interface LifecycleEvent {

  /** The request is registered. */
  record Started() implements LifecycleEvent {}

  /** Its claim is recorded, so that it may be sent. */
  record ClaimRecorded() implements LifecycleEvent {}

  /**
   * Its claim was not recorded, or another request has it.
   *
   * @param refusal what the caller is told
   */
  record ClaimRefused(Refusal refusal) implements LifecycleEvent {}

  /**
   * Upstreams are reserved.
   *
   * @param grant which
   */
  record Granted(Grant grant) implements LifecycleEvent {}

  /**
   * An attempt gets no upstreams.
   *
   * @param attempt which
   * @param refusal why
   */
  record PlacementRefused(int attempt, Refusal refusal) implements LifecycleEvent {}

  /**
   * A prefill upstream has read the prompt.
   *
   * @param attempt which attempt
   * @param handle name of the KV cache
   * @param promptTokens length of the prompt
   * @param cachedTokens how much of it was cached
   * @param tookMillis how long it took
   * @param lifetimeMillis how long the KV cache lives from now
   */
  record Prefilled(
      int attempt,
      String handle,
      int promptTokens,
      int cachedTokens,
      long tookMillis,
      long lifetimeMillis)
      implements LifecycleEvent {}

  /**
   * A token arrived.
   *
   * @param request whose it is, as the frame says
   * @param attempt which attempt, as the frame says
   * @param index its index in the answer
   * @param text its text
   */
  record TokenArrived(RequestId request, int attempt, int index, String text)
      implements LifecycleEvent {}

  /**
   * The last frame of a stream arrived.
   *
   * @param request whose it is, as the frame says
   * @param attempt which attempt, as the frame says
   * @param index how many tokens the answer has
   * @param finishReason why the engine stopped
   * @param promptTokens length of the prompt
   * @param cachedTokens how much of it was cached
   */
  record StreamFinished(
      RequestId request,
      int attempt,
      int index,
      String finishReason,
      int promptTokens,
      int cachedTokens)
      implements LifecycleEvent {}

  /**
   * A plain service answered in full; the shell keeps the answer.
   *
   * @param attempt which attempt
   */
  record PlainResponseReceived(int attempt) implements LifecycleEvent {}

  /**
   * An upstream answered whole and said that it had failed; the shell keeps the answer.
   *
   * @param attempt which attempt
   */
  record FailureResponseReceived(int attempt) implements LifecycleEvent {}

  /**
   * A call to an upstream failed.
   *
   * @param attempt which attempt
   * @param upstream which upstream
   * @param failure how
   */
  record UpstreamFailed(int attempt, UpstreamName upstream, UpstreamFailure failure)
      implements LifecycleEvent {}

  /** The caller has closed its connection. */
  record CallerDisconnected() implements LifecycleEvent {}

  /**
   * The caller is ended by this daemon, for instance since it reads too slowly.
   *
   * @param refusal why; its run state is replaced by what is known
   */
  record CallerEnded(Refusal refusal) implements LifecycleEvent {}

  /**
   * An upstream confirmed that it holds nothing of an attempt.
   *
   * @param attempt which attempt
   * @param upstream which upstream
   */
  record CancelConfirmed(int attempt, UpstreamName upstream) implements LifecycleEvent {}

  /**
   * An upstream has started anew or is gone from the configuration, so it holds nothing.
   *
   * @param upstream which
   */
  record UpstreamRestarted(UpstreamName upstream) implements LifecycleEvent {}

  /** Time has passed. */
  record TimePassed() implements LifecycleEvent {}
}
