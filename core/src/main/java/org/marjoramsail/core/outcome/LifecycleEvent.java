package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;

/** Event of a request that its {@link RequestLifecycle} handles. */
public sealed interface LifecycleEvent {

  /**
   * Returns whether the event may lead to work at the owner of a shard or at an upstream, which is
   * not started for a caller that has left.
   */
  default boolean mayStartWork() {
    return true;
  }

  /** The request was registered. */
  record Started() implements LifecycleEvent {}

  /** The claim of the request was recorded, so that the request may be sent. */
  record ClaimRecorded() implements LifecycleEvent {}

  /**
   * The claim was not recorded, or another request holds it.
   *
   * @param refusal refusal for the caller
   */
  record ClaimRefused(Refusal refusal) implements LifecycleEvent {}

  /**
   * Placement reserved upstreams for an attempt.
   *
   * @param grant the reserved upstreams
   */
  record Granted(Grant grant) implements LifecycleEvent {}

  /**
   * Placement refused an attempt.
   *
   * @param attempt number of the attempt
   * @param refusal reason of the refusal
   */
  record PlacementRefused(int attempt, Refusal refusal) implements LifecycleEvent {}

  /**
   * A prefill upstream has computed the KV cache of the prompt.
   *
   * @param attempt number of the attempt
   * @param handle KV handle on the prefill upstream
   * @param promptTokens length of the prompt
   * @param cachedTokens number of prompt tokens that were cached
   * @param tookMillis duration of the prefill
   * @param lifetimeMillis time from now until the KV cache expires
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
   * A decode upstream begins to send tokens; precedes its first one.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream
   * @param version version of its software, if known
   */
  record OutputStarted(int attempt, UpstreamName upstream, Optional<SoftwareVersion> version)
      implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * A token arrived from a decode upstream.
   *
   * @param request request named in the frame
   * @param attempt attempt named in the frame
   * @param index index of the token in the output
   * @param text text of the token
   */
  record TokenArrived(RequestId request, int attempt, int index, String text)
      implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * The last frame of a stream arrived.
   *
   * @param request request named in the frame
   * @param attempt attempt named in the frame
   * @param index number of tokens in the output
   * @param finishReason reason for which the engine stopped
   * @param promptTokens length of the prompt
   * @param cachedTokens number of prompt tokens that were cached
   * @param trailingText rest of the stream after its last token, such as an event without an
   *     identifier; sent to the caller unchanged
   */
  record StreamFinished(
      RequestId request,
      int attempt,
      int index,
      String finishReason,
      int promptTokens,
      int cachedTokens,
      String trailingText)
      implements LifecycleEvent {

    @Override
    public boolean mayStartWork() {
      return false;
    }

    /** Creates the end of a stream without text after its last token. */
    public StreamFinished(
        RequestId request,
        int attempt,
        int index,
        String finishReason,
        int promptTokens,
        int cachedTokens) {
      this(request, attempt, index, finishReason, promptTokens, cachedTokens, "");
    }
  }

  /**
   * A plain service responded completely; the I/O layer keeps the response.
   *
   * @param attempt number of the attempt
   */
  record PlainResponseReceived(int attempt) implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * An upstream sent a complete response that reports a failure; the I/O layer keeps the response.
   *
   * @param attempt number of the attempt
   */
  record FailureResponseReceived(int attempt) implements LifecycleEvent {}

  /**
   * A call to an upstream failed.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream
   * @param failure kind of the failure
   */
  record UpstreamFailed(int attempt, UpstreamName upstream, UpstreamFailure failure)
      implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return failure != UpstreamFailure.CALLER_LEFT;
    }
  }

  /** The caller has closed its connection. */
  record CallerDisconnected() implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * This daemon ends the request, for instance since the caller reads its response too slowly.
   *
   * @param refusal reason; its run state is replaced by that of the lifecycle
   */
  record CallerEnded(Refusal refusal) implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * This daemon starts the request no more, since it stops before the request would end.
   *
   * @param refusal refusal for the caller, unless the request has started
   */
  record StartRefused(Refusal refusal) implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * An upstream confirmed that it holds no resources for an attempt.
   *
   * @param attempt number of the attempt
   * @param upstream the upstream
   */
  record CancelConfirmed(int attempt, UpstreamName upstream) implements LifecycleEvent {
    @Override
    public boolean mayStartWork() {
      return false;
    }
  }

  /**
   * An upstream has restarted or was removed from the configuration, so it holds no resources of
   * what was sent to it before its end.
   *
   * @param upstream the upstream
   * @param endedAtMillis when its earlier incarnation had ended, on the clock of this daemon; what
   *     was sent from then on runs on the new one
   */
  record UpstreamRestarted(UpstreamName upstream, long endedAtMillis) implements LifecycleEvent {

    /** Creates the restart of an upstream on which nothing runs any more. */
    public UpstreamRestarted(UpstreamName upstream) {
      this(upstream, Long.MAX_VALUE);
    }
  }

  /** The time of {@link RequestLifecycle#nextWakeMillis} has been reached. */
  record TimePassed() implements LifecycleEvent {}
}
