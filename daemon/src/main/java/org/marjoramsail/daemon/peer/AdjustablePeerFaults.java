package org.marjoramsail.daemon.peer;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.model.DaemonId;

/** Network faults that a test can change while daemons run. Safe for use by several threads. */
public final class AdjustablePeerFaults implements PeerFaults {

  /**
   * Probabilities of the faults.
   *
   * @param dropped share of messages that are lost, from 0 to 1
   * @param duplicated share of messages that are delivered twice, from 0 to 1
   * @param longestDelayMillis largest random delay of a message, in milliseconds
   */
  public record Rates(double dropped, double duplicated, long longestDelayMillis) {

    /** No faults. */
    public static final Rates NONE = new Rates(0, 0, 0);
  }

  private record HostPair(String first, String second) {
    static HostPair between(String host, String otherHost) {
      return host.compareTo(otherHost) < 0
          ? new HostPair(host, otherHost)
          : new HostPair(otherHost, host);
    }
  }

  private final RandomGenerator random;
  private final Object lock = new Object();
  private final Set<HostPair> partitions = new HashSet<>();
  private Rates rates = Rates.NONE;

  /** Creates an instance with the source of randomness. */
  public AdjustablePeerFaults(RandomGenerator random) {
    this.random = random;
  }

  /** Sets the probabilities of the faults for all later messages. */
  public void setRates(Rates newRates) {
    synchronized (lock) {
      rates = newRates;
    }
  }

  /** Drops all messages between two hosts, in both directions. */
  public void partition(String host, String otherHost) {
    synchronized (lock) {
      partitions.add(HostPair.between(host, otherHost));
    }
  }

  /** Ends the partition of two hosts. */
  public void heal(String host, String otherHost) {
    synchronized (lock) {
      partitions.remove(HostPair.between(host, otherHost));
    }
  }

  @Override
  public Arrival arrival(DaemonId from, DaemonId to) {
    synchronized (lock) {
      if (partitions.contains(HostPair.between(from.host(), to.host()))
          || random.nextDouble() < rates.dropped()) {
        return Arrival.DROPPED;
      }
      int copies = random.nextDouble() < rates.duplicated() ? 2 : 1;
      return new Arrival(copies, random.nextLong(rates.longestDelayMillis() + 1));
    }
  }
}
