package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.model.DaemonId;

/**
 * Faults of the network between daemons, injected where a message arrives; for tests and soaks.
 *
 * <p>The connections themselves stay: a cut shows as messages that vanish, as behind a switch that
 * drops packets.
 */
@FunctionalInterface
public interface PeerFaults {

  /** Every message arrives once, at once. */
  PeerFaults NONE = (from, to) -> Arrival.NORMAL;

  /**
   * Decides the fate of one message; called on any thread.
   *
   * @param from who sent it
   * @param to who gets it
   */
  Arrival arrival(DaemonId from, DaemonId to);

  /**
   * How a message arrives.
   *
   * @param copies how many times; zero drops it
   * @param delayMillis how much later, in milliseconds
   */
  record Arrival(int copies, long delayMillis) {

    /** Once, at once. */
    public static final Arrival NORMAL = new Arrival(1, 0);

    /** Never. */
    public static final Arrival DROPPED = new Arrival(0, 0);
  }
}
