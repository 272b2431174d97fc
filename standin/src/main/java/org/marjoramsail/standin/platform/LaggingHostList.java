package org.marjoramsail.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.time.Clock;

/** The platform's list of hosts, which shows each change some time after it happened. */
public final class LaggingHostList {

  private record Snapshot(long visibleMillis, List<PlatformHost> hosts) {}

  private final Clock clock;
  private final RandomGenerator random;
  private final PlatformSettings.HostListLag lag;
  private final Map<String, PlatformHost> hosts = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  LaggingHostList(Clock clock, RandomGenerator random, PlatformSettings.HostListLag lag) {
    this.clock = clock;
    this.random = random;
    this.lag = lag;
    snapshots.add(new Snapshot(clock.millis(), List.of()));
  }

  /** Adds a host, or replaces the one of its name. */
  public synchronized void add(PlatformHost host) {
    hosts.put(host.name(), host);
    remember();
  }

  /** Marks a host as leaving; does nothing for an unknown one. */
  public synchronized void markLeaving(String name) {
    hosts.computeIfPresent(name, (unused, host) -> host.leaving());
    remember();
  }

  /** Removes a host; does nothing for an unknown one. */
  public synchronized void remove(String name) {
    hosts.remove(name);
    remember();
  }

  /** The hosts as the list shows them now. */
  public synchronized List<PlatformHost> visible() {
    long now = clock.millis();
    Snapshot shown = snapshots.removeFirst();
    while (!snapshots.isEmpty() && snapshots.getFirst().visibleMillis() <= now) {
      shown = snapshots.removeFirst();
    }
    snapshots.addFirst(shown);
    return shown.hosts();
  }

  private void remember() {
    long wanted = clock.millis() + lag.lagMillis() + random.nextInt(lag.jitterMillis() + 1);
    long visible = Math.max(wanted, snapshots.getLast().visibleMillis());
    snapshots.addLast(new Snapshot(visible, List.copyOf(hosts.values())));
  }
}
