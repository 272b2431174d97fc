package org.marjoramsail.command.platform;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.standin.network.LinkStandIn;
import org.marjoramsail.standin.network.ProcessSockets;

/**
 * Daemons on the platform's path, each a process with a loopback address of its own. Runs on one
 * event loop.
 */
final class PlatformProcesses {

  /** Addresses that daemons know in advance; they learn of the others from these. */
  private static final int SEEDS = 3;

  private static final int HOSTS_PER_BLOCK = 250;

  /** Time for which a slow process stands still, and for which it runs after that. */
  private static final long SLOW_PAUSE_MILLIS = 170;

  private static final long SLOW_RUN_MILLIS = 30;

  /**
   * A running daemon as callers see it.
   *
   * @param host name of its host
   * @param caller where it takes callers
   */
  record Entry(String host, Endpoint caller) {}

  /** Host with fixed addresses, whose process changes at each restart. */
  private static final class Host {
    private final String name;
    private final ListenSettings listen;
    private final LinkStandIn storePath;
    private final LinkStandIn callerPath;
    private Optional<Endpoint> store = Optional.empty();
    private Optional<Endpoint> entrance = Optional.empty();
    private Optional<FleetDaemon> process = Optional.empty();
    private boolean isPaused;
    private Optional<FleetDaemon> stopping = Optional.empty();
    private boolean hasOtherSeeds;

    Host(String name, ListenSettings listen, LinkStandIn storePath, LinkStandIn callerPath) {
      this.name = name;
      this.listen = listen;
      this.storePath = storePath;
      this.callerPath = callerPath;
    }
  }

  private final Vertx vertx;
  private final Context context;
  private final ProcessDaemons factory;
  private final int storePort;
  private final PlatformSoakSetup setup;
  private final Clock clock;
  private final SoakArrivals arrivals;
  private final ProcessSockets sockets;
  private final List<Host> hosts = new ArrayList<>();
  private final Set<Host> starting = new HashSet<>();
  private boolean isEnded;
  private long zoneCutUntilMillis = Long.MIN_VALUE / 2;

  /**
   * Creates hosts without processes.
   *
   * @throws IOException if a host finds no free port
   */
  PlatformProcesses(
      Vertx vertx,
      ProcessDaemons factory,
      int storePort,
      PlatformSoakSetup setup,
      Clock clock,
      SoakArrivals arrivals)
      throws IOException {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.factory = factory;
    this.storePort = storePort;
    this.setup = setup;
    this.clock = clock;
    this.arrivals = arrivals;
    this.sockets = new ProcessSockets(vertx);
    int count = setup.daemons();
    for (int number = 0; number < count; number++) {
      String address = "127.1." + number / HOSTS_PER_BLOCK + "." + (1 + number % HOSTS_PER_BLOCK);
      FixedPorts ports = new FixedPorts();
      ListenSettings listen =
          new ListenSettings(ports.next(address), ports.next(address), ports.next(address));
      hosts.add(host("host-" + (number + 1), listen));
    }
  }

  private Host host(String name, ListenSettings listen) {
    LinkStandIn storePath = new LinkStandIn(vertx, clock, LinkStandIn::retransmissionDelayMillis);
    LinkStandIn callerPath =
        new LinkStandIn(vertx, clock, LinkStandIn::retransmissionDelayMillis, setup.pathMillis());
    callerPath.onRefused(port -> arrivals.refused(name, port));
    return new Host(name, listen, storePath, callerPath);
  }

  int size() {
    return hosts.size();
  }

  /** Starts all daemons at once, and completes when all listen. */
  Future<Void> startAll() {
    return Future.all(hosts.stream().map(this::startFirst).toList()).mapEmpty();
  }

  private Future<Void> startFirst(Host host) {
    return host.storePath
        .start(LoopbackPlatform.ADDRESS, storePort)
        .onSuccess(port -> host.store = Optional.of(new Endpoint(LoopbackPlatform.ADDRESS, port)))
        .compose(port -> openCallerPath(host))
        .compose(entrance -> start(host));
  }

  /** A path that takes no time is left out, so that callers see refused connections as such. */
  private Future<Void> openCallerPath(Host host) {
    Endpoint caller = host.listen.caller();
    if (setup.pathMillis() == 0) {
      host.entrance = Optional.of(caller);
      return Future.succeededFuture();
    }
    return host.callerPath
        .start(caller.address(), caller.port())
        .onSuccess(port -> host.entrance = Optional.of(new Endpoint(caller.address(), port)))
        .mapEmpty();
  }

  /** Returns the running daemons, including those that are stopping and still serve. */
  List<Entry> entries() {
    return hosts.stream()
        .filter(host -> host.process.isPresent() || host.stopping.isPresent())
        .map(host -> new Entry(host.name, host.entrance.orElseThrow()))
        .toList();
  }

  /** Returns where the running processes take operators, by their identifiers. */
  Map<Long, Endpoint> operators() {
    Map<Long, Endpoint> operators = new HashMap<>();
    for (Host host : hosts) {
      host.process
          .or(() -> host.stopping)
          .map(FleetDaemon::process)
          .ifPresent(pid -> operators.put(pid.orElseThrow(), host.listen.operator()));
    }
    return operators;
  }

  /**
   * Chooses some hosts; returns what gives the ports from which their current processes have
   * connected.
   */
  Supplier<Future<Set<Integer>>> portsOfSome(int count, Random random) {
    List<Host> chosen = List.copyOf(choose(count, random));
    return () -> {
      Set<Long> processes = new HashSet<>();
      for (Host host : chosen) {
        host.process
            .or(() -> host.stopping)
            .map(FleetDaemon::process)
            .ifPresent(pid -> processes.add(pid.orElseThrow()));
      }
      return sockets.portsOf(processes);
    };
  }

  /** Returns whether every host has a running process that is not paused. */
  boolean isWhole() {
    return hosts.stream().allMatch(host -> host.process.isPresent() && !host.isPaused);
  }

  /** Kills some daemons at once, and starts them again. */
  void killAtRandom(int count, long downMillis, Random random) {
    for (Host host : choose(count, random)) {
      FleetDaemon killed = host.process.orElseThrow();
      host.process = Optional.empty();
      arrivals.disturbanceBegins(host.name);
      onLoop(killed.kill())
          .onComplete(
              ended -> startLater(host, downMillis, () -> arrivals.disturbanceEnds(host.name)));
    }
  }

  /** Stops the processes of some daemons, and lets them continue. */
  void pauseAtRandom(int count, long millis, Random random) {
    for (Host host : choose(count, random)) {
      host.isPaused = true;
      arrivals.disturbanceBegins(host.name);
      host.process.orElseThrow().pause(millis);
      vertx.setTimer(
          millis,
          fired -> {
            host.isPaused = false;
            arrivals.disturbanceEnds(host.name);
          });
    }
  }

  /** Lets the processes of some daemons run for a small share of a time. */
  void slowAtRandom(int count, long millis, Random random) {
    for (Host host : choose(count, random)) {
      host.isPaused = true;
      arrivals.disturbanceBegins(host.name);
      slow(host, host.process.orElseThrow(), clock.millis() + millis);
    }
  }

  private void slow(Host host, FleetDaemon process, long untilMillis) {
    boolean isReplaced = host.process.filter(process::equals).isEmpty();
    if (clock.millis() >= untilMillis || isEnded || isReplaced) {
      host.isPaused = false;
      arrivals.disturbanceEnds(host.name);
      return;
    }
    process.pause(SLOW_PAUSE_MILLIS);
    vertx.setTimer(SLOW_PAUSE_MILLIS + SLOW_RUN_MILLIS, fired -> slow(host, process, untilMillis));
  }

  /** Cuts the network paths of some daemons to the store for a time. */
  void cutStorePaths(int count, long millis, Random random) {
    for (Host host : choose(count, random)) {
      arrivals.disturbanceBegins(host.name);
      host.storePath.cut();
      vertx.setTimer(
          millis,
          fired -> {
            host.storePath.restore();
            arrivals.disturbanceEnds(host.name);
          });
    }
  }

  /** Returns whether no zone has lost the store for at least this time, in milliseconds. */
  boolean hadStoreFor(long millis) {
    return clock.millis() - zoneCutUntilMillis >= millis;
  }

  /**
   * Cuts the network paths of some daemons to the store at one moment, as when an availability zone
   * loses its path.
   *
   * @param open state of their open connections to the store after the cut
   */
  void cutStorePathsTogether(
      int count, long millis, LinkStandIn.OpenConnections open, Random random) {
    zoneCutUntilMillis = clock.millis() + millis;
    List<Host> cut = List.copyOf(choose(count, random));
    for (Host host : cut) {
      arrivals.disturbanceBegins(host.name);
      host.storePath.cut();
    }
    vertx.setTimer(
        millis,
        fired -> {
          for (Host host : cut) {
            host.storePath.restore(open);
            arrivals.disturbanceEnds(host.name);
          }
        });
  }

  /** Tells daemons to stop one after the other, and starts each again once it has ended. */
  void stopInTurn(long pauseMillis, long withinMillis) {
    for (int number = 0; number < hosts.size(); number++) {
      Host host = hosts.get(number);
      long atMillis = 1 + number * pauseMillis;
      if (atMillis < withinMillis) {
        vertx.setTimer(atMillis, fired -> stop(host));
      }
    }
  }

  private void stop(Host host) {
    if (host.isPaused || host.process.isEmpty()) {
      return;
    }
    FleetDaemon stopped = host.process.orElseThrow();
    host.process = Optional.empty();
    arrivals.stopBegins(host.name);
    host.stopping = Optional.of(stopped);
    onLoop(stopped.stop())
        .onComplete(
            ended -> {
              host.stopping = Optional.empty();
              startLater(host, 1, () -> arrivals.stopEnds(host.name));
            });
  }

  /**
   * Tells some daemons to read their settings again, also those that are told to stop.
   *
   * @param isChanged whether the settings name other addresses to learn of daemons from
   */
  void reloadAtRandom(int count, boolean isChanged, Random random) {
    List<Host> running = new ArrayList<>();
    for (Host host : hosts) {
      if (!host.isPaused && host.process.or(() -> host.stopping).isPresent()) {
        running.add(host);
      }
    }
    Collections.shuffle(running, random);
    running.subList(0, Math.min(count, running.size())).forEach(host -> reload(host, isChanged));
  }

  private void reload(Host host, boolean isChanged) {
    host.hasOtherSeeds ^= isChanged;
    arrivals.reloadBegins(host.name);
    host.process.or(() -> host.stopping).orElseThrow().reload(settings(host));
  }

  /** Kills all daemons for good. */
  void end() {
    isEnded = true;
    factory.close();
  }

  private List<Host> choose(int count, Random random) {
    List<Host> running = new ArrayList<>();
    for (Host host : hosts) {
      if (host.process.isPresent() && !host.isPaused) {
        running.add(host);
      }
    }
    Collections.shuffle(running, random);
    return running.subList(0, Math.min(count, running.size()));
  }

  private void startLater(Host host, long millis, Runnable started) {
    vertx.setTimer(
        millis,
        fired -> {
          if (!isEnded && host.process.isEmpty() && starting.add(host)) {
            start(host)
                .onComplete(
                    done -> {
                      starting.remove(host);
                      started.run();
                    });
          }
        });
  }

  private Future<Void> start(Host host) {
    return onLoop(factory.start(settings(host)))
        .onSuccess(process -> host.process = Optional.of(process))
        .mapEmpty();
  }

  /** Completes on the event loop, as processes start and end on other threads. */
  private <T> Future<T> onLoop(Future<T> future) {
    Promise<T> onLoop = Promise.promise();
    future.onComplete(result -> context.runOnContext(nothing -> future.onComplete(onLoop)));
    return onLoop.future();
  }

  private Settings settings(Host host) {
    List<Endpoint> seeds =
        hosts.stream()
            .skip(host.hasOtherSeeds ? 1 : 0)
            .limit(SEEDS)
            .map(seed -> seed.listen.peer())
            .toList();
    return LoopbackPlatform.settings(
            host.name, host.listen, host.store.orElseThrow(), seeds, setup.retrySlack())
        .withLimits(LoopbackPlatform.PROCESS_LIMITS);
  }
}
