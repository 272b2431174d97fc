package org.marjoramsail.daemon.peer;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.model.DaemonId;

/** Faults that a test or a soak changes while daemons run. Safe for use by several threads. */
public final class AdjustablePeerFaults implements PeerFaults {

  /**
   * How often messages meet a fault.
   *
   * @param dropped share of messages that vanish, from 0 to 1
   * @param duplicated share of messages that arrive twice, from 0 to 1
   * @param longestDelayMillis messages arrive up to this much later, in milliseconds
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

  /** Creates an instance with the source of chance. */
  public AdjustablePeerFaults(RandomGenerator random) {
    this.random = random;
  }

  /** Sets how often messages meet a fault from now on. */
  public void setRates(Rates newRates) {
    synchronized (lock) {
      rates = newRates;
    }
  }

  /** Lets no message pass between two hosts, either way. */
  public void partition(String host, String otherHost) {
    synchronized (lock) {
      partitions.add(HostPair.between(host, otherHost));
    }
  }

  /** Ends a cut. */
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
