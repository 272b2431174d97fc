package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.model.DaemonId;

/**
 * Network faults that are injected when a message is received; for tests.
 *
 * <p>Connections stay open: a network partition appears as lost messages.
 */
@FunctionalInterface
public interface PeerFaults {

  /** Delivers every message once, without delay. */
  PeerFaults NONE = (from, to) -> Arrival.NORMAL;

  /**
   * Returns how to deliver a message; called on any thread.
   *
   * @param from the sender
   * @param to the recipient
   */
  Arrival arrival(DaemonId from, DaemonId to);

  /**
   * Delivery of a message.
   *
   * @param copies the number of deliveries; zero drops the message
   * @param delayMillis the delay, in milliseconds
   */
  record Arrival(int copies, long delayMillis) {

    /** One delivery without delay. */
    public static final Arrival NORMAL = new Arrival(1, 0);

    /** No delivery. */
    public static final Arrival DROPPED = new Arrival(0, 0);
  }
}
