package org.marjoramsail.core.order;

import java.util.List;

/**
 * Where the orders of one service stand.
 *
 * @param service which
 * @param phase the whole of it
 * @param upstreams each engine that is not as wished
 */
public record OrderStatus(String service, Phase phase, List<UpstreamStatus> upstreams) {

  /** Copies the list, so that the value cannot change. */
  public OrderStatus {
    upstreams = List.copyOf(upstreams);
  }

  /** Where a service stands. */
  public enum Phase {
    /** All engines are as wished. */
    DONE,
    /** Engines are being changed a few at a time. */
    ROLLING,
    /** Nothing can go on without emptying a pool, or engines do not answer. */
    BLOCKED,
    /** An order failed; a resume order or another version goes on. */
    PAUSED
  }

  /** What one engine waits for. */
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
   * One engine that is not as wished.
   *
   * @param upstream its name
   * @param step what it waits for
   * @param reason what the engine said, where it failed
   */
  public record UpstreamStatus(String upstream, Step step, String reason) {}
}
