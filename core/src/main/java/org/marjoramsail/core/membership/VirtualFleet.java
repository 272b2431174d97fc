package org.marjoramsail.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.ManualClock;

/**
 * Simulation of many failure detectors with a virtual clock and a network that loses, duplicates
 * and reorders messages; for tests and measurements. Runs with the same seed are identical.
 */
public final class VirtualFleet {

  private static final long START_MILLIS = 1_000_000;
  private static final int PORT = 7400;
  private static final int HOSTS_PER_BLOCK = 250;
  private static final long HOST_LIST_DELAY_MILLIS = 20;
  private static final long HOST_LIST_PERIOD_MILLIS = 2_000;

  /** How often a daemon looks whether a call of the store is due. */
  private static final long LEASE_TICK_MILLIS = 200;

  /** Listener for the messages that daemons send. */
  @FunctionalInterface
  public interface Observer {
    /** Handles a message before it is lost or delivered. */
    void sent(DaemonId from, PeerMessage message);
  }

  /**
   * Properties of the simulated network.
   *
   * @param lost probability that a message is lost, from 0 to 1
   * @param duplicated probability that a message is duplicated, from 0 to 1
   * @param minimumDelayMillis minimum latency, in milliseconds
   * @param maximumDelayMillis maximum latency, in milliseconds; if it exceeds the minimum, messages
   *     may be reordered
   */
  public record Network(
      double lost, double duplicated, long minimumDelayMillis, long maximumDelayMillis) {

    /** Network between availability zones of one region, without faults. */
    public static final Network RELIABLE = new Network(0, 0, 1, 2);

    private long delayMillis(RandomGenerator random) {
      return random.nextLong(minimumDelayMillis, maximumDelayMillis + 1);
    }
  }

  private static final class Node {
    private final MemberUpdate self;
    private final MembershipProtocol protocol;
    private Optional<HostLeases> leases = Optional.empty();
    private boolean running = true;
    private long pausedUntilMillis;

    Node(MemberUpdate self, MembershipProtocol protocol) {
      this.self = self;
      this.protocol = protocol;
    }
  }

  private record Event(long dueMillis, long order, Node node, Runnable action) {}

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Observer observer;
  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Map<PeerAddress, Node> byAddress = new TreeMap<>(ADDRESS_ORDER);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueMillis).thenComparingLong(Event::order));
  private final Set<DaemonId> paused = new HashSet<>();
  private final Set<PeerAddress> unlisted = new HashSet<>();
  private final List<PeerAddress> seeds = new ArrayList<>();
  private Network network = Network.RELIABLE;
  private BiPredicate<MemberUpdate, MemberUpdate> cut = (from, to) -> false;
  private boolean hasHostList;
  private Optional<VirtualHostStore> hostStore = Optional.empty();
  private Network storeNetwork = Network.RELIABLE;
  private int seedCount = 2;
  private long order;

  private static final Comparator<PeerAddress> ADDRESS_ORDER =
      Comparator.comparing(PeerAddress::address).thenComparingInt(PeerAddress::port);

  /** Creates a fleet without daemons. */
  public VirtualFleet(MembershipSettings settings, RandomGenerator random, Observer observer) {
    this.settings = settings;
    this.random = random;
    this.observer = observer;
  }

  /**
   * Gives each daemon that starts from now on a list of all hosts that ever started and were not
   * removed from it, shortly after its start and then repeatedly.
   */
  public void enableHostList() {
    hasHostList = true;
  }

  /**
   * Has each daemon that starts from now on keep a record of its host in a store.
   *
   * @param storeNetwork latency of the calls; nothing is lost or duplicated
   */
  public void enableHostLeases(VirtualHostStore store, Network storeNetwork) {
    this.hostStore = Optional.of(store);
    this.storeNetwork = storeNetwork;
  }

  /** Sets the number of seeds, which are the first hosts, for daemons that start later. */
  public void seedCount(int count) {
    seedCount = count;
  }

  /** Starts a daemon on a new host; the first hosts are the seeds of all daemons. */
  public DaemonId start(String host, String availabilityZone, String region) {
    int number = nodes.size();
    String address = "10.0." + number / HOSTS_PER_BLOCK + "." + (1 + number % HOSTS_PER_BLOCK);
    if (seeds.size() < seedCount) {
      seeds.add(new PeerAddress(address, PORT));
    }
    return start(
        new MemberUpdate(
            host,
            clock.millis(),
            0,
            Health.ALIVE,
            Departure.STAYING,
            address,
            PORT,
            availabilityZone,
            region));
  }

  /** Kills the daemon on a host, if it is running, and starts a new incarnation of it. */
  public DaemonId restart(String host) {
    kill(host);
    MemberUpdate previous = nodes.get(host).self;
    long incarnation = Math.max(clock.millis(), previous.incarnation() + 1);
    return start(
        new MemberUpdate(
            host,
            incarnation,
            0,
            Health.ALIVE,
            Departure.STAYING,
            previous.address(),
            previous.port(),
            previous.availabilityZone(),
            previous.region()));
  }

  /** Kills a daemon without an announcement. */
  public void kill(String host) {
    nodes.get(host).running = false;
  }

  /** Removes a host from the list of hosts. */
  public void removeFromHostList(String host) {
    unlisted.add(nodes.get(host).self.listening());
  }

  /** Makes a daemon announce its departure, and announce that it has left and stop after a time. */
  public void leave(String host, long afterMillis) {
    Node node = nodes.get(host);
    node.leases.ifPresent(HostLeases::leave);
    perform(node, node.protocol.leave(clock.millis()));
    schedule(
        afterMillis,
        node,
        () -> {
          perform(node, node.protocol.markLeft(clock.millis()));
          node.running = false;
        });
  }

  /** Pauses the process of a daemon; messages and timers are delayed until it resumes. */
  public void pause(String host, long millis) {
    Node node = nodes.get(host);
    node.pausedUntilMillis = clock.millis() + millis;
    paused.add(node.self.id());
  }

  /** Sets the properties of the network from now on. */
  public void network(Network newNetwork) {
    network = newNetwork;
  }

  /** Drops all messages for which the predicate holds for sender and receiver. */
  public void cut(BiPredicate<MemberUpdate, MemberUpdate> newCut) {
    cut = newCut;
  }

  /** Ends all cuts of the network. */
  public void healCuts() {
    cut = (from, to) -> false;
  }

  /** Advances the virtual time and performs all events that are due. */
  public void run(long millis) {
    long endMillis = clock.millis() + millis;
    while (!events.isEmpty() && events.peek().dueMillis() <= endMillis) {
      Event event = events.poll();
      clock.advance(event.dueMillis() - clock.millis());
      dispatch(event);
    }
    clock.advance(endMillis - clock.millis());
  }

  /** Returns the virtual time, in milliseconds. */
  public long millis() {
    return clock.millis();
  }

  /** Returns the daemons that are running. */
  public List<DaemonId> running() {
    return nodes.values().stream()
        .filter(node -> node.running)
        .map(node -> node.self.id())
        .toList();
  }

  /** Returns the incarnations that were paused at any time. */
  public Set<DaemonId> everPaused() {
    return Set.copyOf(paused);
  }

  /** Returns the view of the newest incarnation on a host. */
  public MembershipView view(String host) {
    return nodes.get(host).protocol.view();
  }

  /** Returns the counters of the newest incarnation on a host. */
  public MembershipStatistics statistics(String host) {
    return nodes.get(host).protocol.statistics();
  }

  /** Returns the state of the daemon on another host, as observed by the daemon on a host. */
  public Optional<MemberState> observedState(String host, String other) {
    return nodes.get(host).protocol.stateOf(other);
  }

  private DaemonId start(MemberUpdate self) {
    RandomGenerator nodeRandom =
        RandomGeneratorFactory.<RandomGenerator>of("L64X128MixRandom").create(random.nextLong());
    Node node =
        new Node(self, new MembershipProtocol(settings, self, seeds, nodeRandom, clock.millis()));
    nodes.put(self.host(), node);
    byAddress.put(self.listening(), node);
    schedule(random.nextLong(MembershipSettings.TICK_MILLIS), node, () -> tick(node));
    if (hasHostList) {
      schedule(HOST_LIST_DELAY_MILLIS, node, () -> readHostList(node));
    }
    hostStore.ifPresent(store -> startLeases(node, store));
    return self.id();
  }

  private void readHostList(Node node) {
    List<PeerAddress> listed = new ArrayList<>(byAddress.keySet());
    listed.removeAll(unlisted);
    node.protocol.hostList(listed);
    schedule(HOST_LIST_PERIOD_MILLIS, node, () -> readHostList(node));
  }

  private void startLeases(Node node, VirtualHostStore store) {
    RandomGenerator leaseRandom =
        RandomGeneratorFactory.<RandomGenerator>of("L64X128MixRandom").create(random.nextLong());
    node.leases =
        Optional.of(
            new HostLeases(node.self.host(), node.self.listening(), leaseRandom, clock.millis()));
    tickLeases(node, store);
  }

  private void tickLeases(Node node, VirtualHostStore store) {
    HostLeases leases = node.leases.orElseThrow();
    leases.next(clock.millis()).ifPresent(call -> callStore(node, store, call));
    schedule(LEASE_TICK_MILLIS, node, () -> tickLeases(node, store));
  }

  private void callStore(Node node, VirtualHostStore store, HostLeaseCall call) {
    VirtualHostStore.Response response = store.call(call, clock.millis());
    schedule(
        storeNetwork.delayMillis(random),
        node,
        () -> {
          HostLeases leases = node.leases.orElseThrow();
          response.handle(leases, clock.millis());
          node.protocol.hostList(leases.addresses(), leases.isComplete(clock.millis()));
        });
  }

  private void tick(Node node) {
    perform(node, node.protocol.tick(clock.millis()));
    schedule(node.protocol.pauseMillis(clock.millis()), node, () -> tick(node));
  }

  private void dispatch(Event event) {
    Node node = event.node();
    if (!node.running) {
      return;
    }
    if (node.pausedUntilMillis > clock.millis()) {
      schedule(node.pausedUntilMillis - clock.millis(), node, event.action());
      return;
    }
    event.action().run();
  }

  private void perform(Node node, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        Optional<Node> to =
            Optional.ofNullable(nodes.get(send.to().host()))
                .filter(found -> found.self.id().equals(send.to()));
        transmit(node, to, send.message());
      } else if (action instanceof MembershipAction.SendToAddress send) {
        transmit(node, Optional.ofNullable(byAddress.get(send.to())), send.message());
      }
    }
  }

  private void transmit(Node from, Optional<Node> to, PeerMessage message) {
    observer.sent(from.self.id(), message);
    if (to.isEmpty() || cut.test(from.self, to.get().self)) {
      return;
    }
    if (random.nextDouble() >= network.lost()) {
      deliver(from, to.get(), message);
    }
    if (random.nextDouble() < network.duplicated()) {
      deliver(from, to.get(), message);
    }
  }

  private void deliver(Node from, Node to, PeerMessage message) {
    schedule(
        network.delayMillis(random),
        to,
        () -> perform(to, to.protocol.receive(from.self.id(), message, clock.millis())));
  }

  private void schedule(long delayMillis, Node node, Runnable action) {
    events.add(new Event(clock.millis() + delayMillis, order++, node, action));
  }
}
