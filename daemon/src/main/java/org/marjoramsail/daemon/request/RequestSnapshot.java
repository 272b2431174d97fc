package org.marjoramsail.daemon.request;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleState;

/**
 * Where a request is and how it got there, for operators.
 *
 * @param request the request
 * @param service the service asked for
 * @param organisation whose it is
 * @param rule the rule that matched it
 * @param serviceClass its urgency
 * @param state where it is
 * @param attempt the current attempt
 * @param prefill the prefill upstream of the current attempt
 * @param target the upstream of the current attempt that generates or answers
 * @param emittedTokens how many tokens the caller has
 * @param ageMillis since it arrived
 * @param steps its way so far, bounded
 * @param longestGap the longest pause between two pieces so far
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

  /** After how long the caller had a first piece or a whole answer; zero where it got none. */
  long firstOutputMillis() {
    return steps.stream()
        .filter(step -> step.kind() == TraceKind.FIRST_TOKEN || step.kind() == TraceKind.COMPLETED)
        .mapToLong(TraceStep::afterMillis)
        .findFirst()
        .orElse(0);
  }

  /** Copies the list, so that the value cannot change. */
  public RequestSnapshot {
    steps = List.copyOf(steps);
  }
}
