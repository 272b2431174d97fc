package org.marjoramsail.command.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;

/**
 * Daemons on the platform's path, each a process with a loopback address of its own. Runs on one
 * event loop.
 */
final class PlatformProcesses {

  /** Addresses that daemons know in advance; they learn of the others from these. */
  private static final int SEEDS = 3;

  private static final int HOSTS_PER_BLOCK = 250;

  /** Host with fixed addresses, whose process changes at each restart. */
  private static final class Host {
    private final String name;
    private final ListenSettings listen;
    private Optional<FleetDaemon> process = Optional.empty();
    private boolean isPaused;

    Host(String name, ListenSettings listen) {
      this.name = name;
      this.listen = listen;
    }
  }

  private final Vertx vertx;
  private final ProcessDaemons factory;
  private final Endpoint store;
  private final double retrySlack;
  private final List<Host> hosts = new ArrayList<>();
  private final Set<Host> starting = new HashSet<>();
  private boolean isEnded;

  /**
   * Creates hosts without processes.
   *
   * @throws IOException if a host finds no free port
   */
  PlatformProcesses(
      Vertx vertx, ProcessDaemons factory, Endpoint store, int count, double retrySlack)
      throws IOException {
    this.vertx = vertx;
    this.factory = factory;
    this.store = store;
    this.retrySlack = retrySlack;
    for (int number = 0; number < count; number++) {
      String address = "127.1." + number / HOSTS_PER_BLOCK + "." + (1 + number % HOSTS_PER_BLOCK);
      ListenSettings listen =
          new ListenSettings(freePort(address), freePort(address), freePort(address));
      hosts.add(new Host("host-" + (number + 1), listen));
    }
  }

  private static Endpoint freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return new Endpoint(address, socket.getLocalPort());
    }
  }

  int size() {
    return hosts.size();
  }

  /** Starts all daemons at once, and completes when all listen. */
  Future<Void> startAll() {
    return Future.all(hosts.stream().map(this::start).toList()).mapEmpty();
  }

  /** Returns where the running daemons take callers. */
  List<Endpoint> callerEndpoints() {
    return hosts.stream()
        .filter(host -> host.process.isPresent())
        .map(host -> host.listen.caller())
        .toList();
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
      killed.kill().onComplete(ended -> startLater(host, downMillis));
    }
  }

  /** Stops the processes of some daemons, and lets them continue. */
  void pauseAtRandom(int count, long millis, Random random) {
    for (Host host : choose(count, random)) {
      host.isPaused = true;
      host.process.orElseThrow().pause(millis);
      vertx.setTimer(millis, fired -> host.isPaused = false);
    }
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
    stopped.stop().onComplete(ended -> startLater(host, 1));
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

  private void startLater(Host host, long millis) {
    vertx.setTimer(
        millis,
        fired -> {
          if (!isEnded && host.process.isEmpty() && starting.add(host)) {
            start(host).onComplete(done -> starting.remove(host));
          }
        });
  }

  private Future<Void> start(Host host) {
    List<Endpoint> seeds = hosts.stream().limit(SEEDS).map(seed -> seed.listen.peer()).toList();
    Settings settings = LoopbackPlatform.settings(host.name, host.listen, store, seeds, retrySlack);
    return factory
        .start(settings)
        .onSuccess(process -> host.process = Optional.of(process))
        .mapEmpty();
  }
}
