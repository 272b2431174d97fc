package org.marjoramsail.daemon.request;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleState;

/**
 * State and trace of a request at one moment, for operators.
 *
 * @param request id of the request
 * @param service the requested service
 * @param organisation the organisation that sent it
 * @param rule the rule that matched it
 * @param serviceClass its service class
 * @param state state of its lifecycle
 * @param attempt number of the current attempt
 * @param prefill the prefill upstream of the current attempt
 * @param target the decode upstream or plain service of the current attempt
 * @param emittedTokens number of tokens sent to the caller
 * @param ageMillis time since its arrival
 * @param steps its trace so far, of bounded length
 * @param longestGap the longest inter-chunk gap so far
 */
public record RequestSnapshot(
    RequestId request,
    String service,
    String organisation,
    String rule,
    ServiceClass serviceClass,
    LifecycleState state,
    int attempt,
    Optional<UpstreamName> prefill,
    Optional<UpstreamName> target,
    int emittedTokens,
    long ageMillis,
    List<TraceStep> steps,
    Optional<InterChunkGap> longestGap) {

  /** Returns the time until the first chunk or the whole response; zero where there was none. */
  long firstOutputMillis() {
    return steps.stream()
        .filter(step -> step.kind() == TraceKind.FIRST_TOKEN || step.kind() == TraceKind.COMPLETED)
        .mapToLong(TraceStep::afterMillis)
        .findFirst()
        .orElse(0);
  }

  /** Creates an immutable value. */
  public RequestSnapshot {
    steps = List.copyOf(steps);
  }
}
