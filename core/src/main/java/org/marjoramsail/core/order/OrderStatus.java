package org.marjoramsail.core.order;

import java.util.List;

/**
 * Status of the orders of one service.
 *
 * @param service the service
 * @param phase phase of the rollout
 * @param upstreams status of each engine that is not in its desired state
 */
public record OrderStatus(String service, Phase phase, List<UpstreamStatus> upstreams) {

  /** Copies the list, so that the record is immutable. */
  public OrderStatus {
    upstreams = List.copyOf(upstreams);
  }

  /** Phases of the rollout of a service. */
  public enum Phase {
    /** All engines are in their desired states. */
    DONE,
    /** Engines are being changed a few at a time. */
    ROLLING,
    /** The remaining engines are unreachable or the last serving ones of their roles. */
    BLOCKED,
    /** An order failed; the rollout continues after a resume order or with another version. */
    PAUSED
  }

  /** Steps of the change of one engine. */
  public enum Step {
    WAITING_FOR_TURN,
    LAST_OF_ITS_ROLE,
    WAITING_FOR_WEIGHT_STORE,
    DRAINING,
    ORDERED,
    UNREACHABLE,
    FAILED
  }

  /**
   * Status of an engine that is not in its desired state.
   *
   * @param upstream name of the engine
   * @param step current step of its change
   * @param reason reason of a failure or of a wait; empty if there is none
   */
  public record UpstreamStatus(String upstream, Step step, String reason) {}
}
