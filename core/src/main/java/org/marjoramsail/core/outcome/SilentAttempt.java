package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;

/**
 * An attempt that has made no progress for too long and still runs, while another one is made.
 *
 * @param number number of the attempt
 * @param placementId identifier under which it was placed
 * @param state what its upstream is doing
 * @param grant its grant
 * @param upstream the upstream that works on it
 * @param outputReceived whether it has given output
 * @param version software version of its output, if known
 * @param kv the KV cache that it may still fetch
 * @param sentAtMillis when it was sent to a plain service
 */
record SilentAttempt(
    int number,
    RequestId placementId,
    LifecycleState state,
    Grant grant,
    UpstreamName upstream,
    boolean outputReceived,
    Optional<SoftwareVersion> version,
    Optional<KvSource> kv,
    long sentAtMillis) {

  boolean isGenerating() {
    return state == LifecycleState.GENERATING;
  }

  /** Returns whether a whole response of an upstream may still arrive. */
  boolean isAwaitingResponse() {
    return state == LifecycleState.PLAIN_RUNNING || (isGenerating() && !outputReceived);
  }

  /** Returns the phase that it has reached, for reports to its owner. */
  AttemptPhase phase() {
    if (isGenerating() && outputReceived) {
      return AttemptPhase.GENERATING;
    }
    boolean isPrefilling =
        state == LifecycleState.PREFILLING || grant.mode() == GrantMode.LOCAL_PREFILL;
    return isPrefilling ? AttemptPhase.PREFILLING : AttemptPhase.PREFILLED;
  }

  SilentAttempt withVersion(Optional<SoftwareVersion> started) {
    return new SilentAttempt(
        number, placementId, state, grant, upstream, outputReceived, started, kv, sentAtMillis);
  }
}
