package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams that are reserved for one attempt of a request until it is released.
 *
 * @param request the request
 * @param attempt the number of the attempt
 * @param mode how the upstreams divide the work
 * @param prefill the upstream that prefills the prompt; present when {@code mode} transfers a KV
 *     cache
 * @param target the upstream that generates the output or responds
 * @param expectedPrefillMillis estimated time of the prefill
 * @param expectedTransferMillis estimated time of the KV cache transfer
 * @param estimate what the owner expected of the target; encoded by the message that carries the
 *     grant, since most grants have none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Grant(
    RequestId request,
    int attempt,
    GrantMode mode,
    Optional<UpstreamName> prefill,
    UpstreamName target,
    long expectedPrefillMillis,
    long expectedTransferMillis,
    @JsonIgnore Optional<GrantEstimate> estimate) {

  /** Creates a grant whose estimate is absent if it is missing in an encoded message. */
  public Grant {
    estimate = estimate == null ? Optional.empty() : estimate;
  }

  /** Creates a grant without an estimate. */
  public Grant(
      RequestId request,
      int attempt,
      GrantMode mode,
      Optional<UpstreamName> prefill,
      UpstreamName target,
      long expectedPrefillMillis,
      long expectedTransferMillis) {
    this(
        request,
        attempt,
        mode,
        prefill,
        target,
        expectedPrefillMillis,
        expectedTransferMillis,
        Optional.empty());
  }

  /** Returns a copy with this estimate. */
  Grant withEstimate(GrantEstimate newEstimate) {
    return new Grant(
        request,
        attempt,
        mode,
        prefill,
        target,
        expectedPrefillMillis,
        expectedTransferMillis,
        Optional.of(newEstimate));
  }
}
