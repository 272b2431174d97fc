package org.marjoramsail.command.platform;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;
import org.marjoramsail.platform.standin.ServerVisits;
import org.marjoramsail.platform.standin.StoreStandIn;
import org.marjoramsail.standin.load.DrainLog;
import org.marjoramsail.standin.network.LinkStandIn;

/** The daemons, servers, store and network paths that faults are done to. */
final class PlatformSoakStage {

  /** Time after the return of the store in which servers register again, in milliseconds. */
  private static final int LONGEST_REGISTRATION_MILLIS = 1_900;

  /** Shortest pause of a server after which daemons may break off its responses. */
  private static final long LONG_PAUSE_MILLIS = 2_000;

  /** Bounds of the time after which a crashed server is replaced. */
  private static final long LEAST_CRASHED_MILLIS = 2_000;

  private static final long MOST_CRASHED_MILLIS = 5_000;

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformStandIn platform;
  private final PlatformProcesses daemons;
  private final Map<String, LinkStandIn> links;
  private final SoakArrivals arrivals;
  private final SoakLoad load;
  private final RouteLog routes;
  private final long endMillis;
  private final Set<String> leaving = new HashSet<>();
  private int started;
  private int expired;
  private int releases;
  private int contents;

  /**
   * Creates a stage.
   *
   * @param links network paths to the servers, by their names
   * @param routes records the routes that are added and dropped
   * @param endMillis time at which all faults end
   */
  PlatformSoakStage(
      Vertx vertx,
      Clock clock,
      PlatformStandIn platform,
      PlatformProcesses daemons,
      Map<String, LinkStandIn> links,
      SoakArrivals arrivals,
      SoakLoad load,
      RouteLog routes,
      long endMillis) {
    this.vertx = vertx;
    this.clock = clock;
    this.platform = platform;
    this.daemons = daemons;
    this.links = links;
    this.arrivals = arrivals;
    this.load = load;
    this.routes = routes;
    this.endMillis = endMillis;
  }

  PlatformProcesses daemons() {
    return daemons;
  }

  /** Returns the time until all faults end. */
  long remainingMillis() {
    return endMillis - clock.millis();
  }

  /**
   * Lets some servers of a service misbehave for a time.
   *
   * @param servers share of the servers
   * @param requests share of their requests
   */
  void disturb(
      String service,
      ServerStandIn.Mood mood,
      double servers,
      double requests,
      long millis,
      Random random) {
    for (String name : choose(platform.listed(service), servers, random)) {
      ServerStandIn server = platform.server(name);
      arrivals.troubleBegins(name);
      server.mood(mood, requests);
      vertx.setTimer(
          millis,
          fired -> {
            server.mood(ServerStandIn.Mood.WELL);
            arrivals.troubleEnds(name);
          });
    }
  }

  /**
   * Lets some servers of a service send responses a second time for a time.
   *
   * @param servers share of the servers
   * @param responses share of their responses
   * @param withId share of these that bear the identifier of their request
   */
  void repeatResponses(
      String service, double servers, double responses, double withId, long millis, Random random) {
    for (String name : choose(platform.listed(service), servers, random)) {
      ServerVisits visits = platform.server(name).visits();
      arrivals.troubleBegins(name);
      visits.repeatResponses(responses, withId, random.nextLong());
      vertx.setTimer(
          millis,
          fired -> {
            visits.repeatNothing();
            arrivals.troubleEnds(name);
          });
    }
  }

  /** Lets a share of the servers of a service send nothing for a time, and then go on. */
  void pauseServers(String service, double servers, long millis, Random random) {
    boolean isLong = millis >= LONG_PAUSE_MILLIS;
    for (String name : choose(platform.listed(service), servers, random)) {
      ServerStandIn server = platform.server(name);
      arrivals.pauseBegins(name, isLong);
      server.mood(ServerStandIn.Mood.PAUSING);
      vertx.setTimer(
          millis,
          fired -> {
            server.mood(ServerStandIn.Mood.WELL);
            arrivals.pauseEnds(name, isLong);
          });
    }
  }

  /** Puts a configuration in force whose routes have another timeout. */
  void changeTimeouts(long timeoutMillis) {
    platform.configure(PlatformStandIn.FIRST_ROUTE, timeoutMillis);
  }

  /** Puts configurations in force one after the other, each with another number of routes. */
  void changeRoutesInSeries(List<Integer> counts, long gapMillis) {
    long delayMillis = 1;
    for (int count : counts) {
      vertx.setTimer(
          delayMillis,
          fired -> {
            platform.configureMoreRoutes(count);
            routes.changed(count, clock.millis());
          });
      delayMillis += gapMillis;
    }
  }

  /** Lets the store send its responses slowly for a time. */
  void slowStore(int bytesPerSecond, long millis) {
    arrivals.disturbanceBegins(DrainLog.STORE);
    platform.store().transmitAt(bytesPerSecond);
    vertx.setTimer(
        millis,
        fired -> {
          platform.store().transmitAt(Integer.MAX_VALUE);
          arrivals.disturbanceEnds(DrainLog.STORE);
        });
  }

  /** Puts configurations in force one after the other, each with another timeout. */
  void changeTimeoutsInSeries(List<Long> timeoutsMillis, long gapMillis) {
    long delayMillis = 1;
    for (long timeoutMillis : timeoutsMillis) {
      vertx.setTimer(delayMillis, fired -> changeTimeouts(timeoutMillis));
      delayMillis += gapMillis;
    }
  }

  /** Tells some daemons, drawn anew each time, to read their settings again and again. */
  void reloadInSeries(int count, int times, long gapMillis, Random random) {
    for (int time = 0; time < times; time++) {
      boolean isChanged = random.nextBoolean();
      vertx.setTimer(
          1 + time * gapMillis, fired -> daemons.reloadAtRandom(count, isChanged, random));
    }
  }

  /** Lets the store misbehave for a time. */
  void disturbStore(StoreStandIn.Mood mood, long millis) {
    arrivals.disturbanceBegins(DrainLog.STORE);
    platform.store().mood(mood);
    vertx.setTimer(
        millis,
        fired -> {
          platform.store().mood(StoreStandIn.Mood.WELL);
          arrivals.disturbanceEnds(DrainLog.STORE);
          load.storeReturned();
        });
  }

  /** Returns whether servers whose entries expired have not all registered again. */
  boolean storeLosesEntries() {
    return expired > 0;
  }

  /**
   * Lets the store respond to nothing for a time, in which entries of a share of the servers
   * expire; these register again within two seconds of its end.
   */
  void loseEntries(double servers, long millis, Random random) {
    List<String> running = new ArrayList<>(platform.listed(PlatformStandIn.ENGINES));
    running.addAll(platform.listed(PlatformStandIn.DESK));
    running.removeAll(leaving);
    List<String> expiring = choose(running, servers, random);
    expired = expiring.size();
    disturbStore(StoreStandIn.Mood.SILENT, millis);
    vertx.setTimer(millis / 2, fired -> expiring.forEach(platform::unlist));
    for (String name : expiring) {
      vertx.setTimer(
          millis + random.nextInt(LONGEST_REGISTRATION_MILLIS),
          fired -> {
            expired--;
            if (!leaving.contains(name)) {
              platform.relist(name);
            }
          });
    }
  }

  /** Cuts the network paths to a share of the servers of a service for a time. */
  void cutPaths(String service, double servers, long millis, Random random) {
    cutPaths(service, servers, millis, LinkStandIn::cut, random);
  }

  /** Cuts the network paths from some hosts to a share of the servers of a service for a time. */
  void cutPathsOfHosts(String service, int hosts, double servers, long millis, Random random) {
    Supplier<Future<Set<Integer>>> ports = daemons.portsOfSome(hosts, random);
    cutPaths(service, servers, millis, link -> link.cut(ports), random);
  }

  private void cutPaths(
      String service, double servers, long millis, Consumer<LinkStandIn> cut, Random random) {
    for (String name : choose(platform.listed(service), servers, random)) {
      LinkStandIn link = links.get(name);
      arrivals.disturbanceBegins(name);
      arrivals.troubleBegins(name);
      cut.accept(link);
      vertx.setTimer(
          millis,
          fired -> {
            link.restore();
            arrivals.disturbanceEnds(name);
            arrivals.troubleEnds(name);
          });
    }
  }

  /**
   * Replaces a share of the servers of a service: a new one is started for each, and the old one
   * leaves.
   *
   * @param announced whether they are listed as draining before they are removed from the list
   * @param millis time for which they are listed as draining
   */
  void replaceServers(
      String service, double servers, boolean announced, long millis, Random random) {
    List<String> staying = new ArrayList<>(platform.listed(service));
    staying.removeAll(leaving);
    for (String name : choose(staying, servers, random)) {
      leaving.add(name);
      replace(service, name, platform.version(name), () -> leave(name, announced, millis));
    }
  }

  /**
   * Starts a successor of one server, which leaves after some time.
   *
   * @param delayMillis time from now on at which the server leaves
   * @param announced whether it is listed as draining before it is removed from the list
   * @param millis time for which it is listed as draining
   */
  void replaceServersLater(
      String service, long delayMillis, boolean announced, long millis, Random random) {
    List<String> staying = new ArrayList<>(platform.listed(service));
    staying.removeAll(leaving);
    if (staying.isEmpty()) {
      return;
    }
    String name = staying.get(random.nextInt(staying.size()));
    leaving.add(name);
    replace(
        service,
        name,
        platform.version(name),
        () -> vertx.setTimer(delayMillis, fired -> leave(name, announced, millis)));
  }

  /**
   * Replaces a share of the engines by engines of a new software version, one after the other.
   *
   * @param gapMillis time between two of them
   * @param millis time for which those that leave are listed as draining
   */
  void releaseEngines(double servers, long gapMillis, long millis, Random random) {
    List<String> staying = new ArrayList<>(platform.listed(PlatformStandIn.ENGINES));
    staying.removeAll(leaving);
    String version = "v" + (++releases + 1);
    long delayMillis = 1;
    for (String name : choose(staying, servers, random)) {
      leaving.add(name);
      vertx.setTimer(
          delayMillis,
          fired ->
              replace(PlatformStandIn.ENGINES, name, version, () -> leave(name, true, millis)));
      delayMillis += gapMillis;
    }
  }

  /** Starts a successor of a server; {@code leave} ends the server once the successor is listed. */
  private void replace(String service, String name, String version, Runnable leave) {
    String successor = name + "-successor-" + started++;
    Future<Integer> listed = platform.addServer(successor, service, platform.stage(name), version);
    listed.onSuccess(
        port -> {
          arrivals.observe(platform, service, successor);
          leave.run();
        });
  }

  private void leave(String server, boolean announced, long millis) {
    arrivals.leaves(server);
    if (announced) {
      platform.drain(server);
      vertx.setTimer(millis, fired -> platform.unlist(server));
    } else {
      platform.unlist(server);
    }
    arrivals.drained(server);
  }

  /**
   * Sends a request that crashes each server that runs it to all daemons, again and again.
   *
   * @param path the route of the request
   * @param gapMillis time between two sends
   * @param millis time until the last send
   */
  void sendCrashingContent(String path, long gapMillis, long millis) {
    String content = SoakLoad.CRASHING + ++contents;
    long untilMillis = clock.millis() + Math.min(millis, remainingMillis());
    vertx.setPeriodic(
        gapMillis,
        timer -> {
          if (clock.millis() < untilMillis) {
            load.sendCrashing(path, content);
          } else {
            vertx.cancelTimer(timer);
          }
        });
  }

  /**
   * Lets crashing contents crash servers from now on, and replaces each server some seconds later.
   */
  void restartCrashedServers(Random random) {
    Context context = vertx.getOrCreateContext();
    Set<String> crashing = ConcurrentHashMap.newKeySet();
    Set<String> crashed = new HashSet<>();
    platform.crashOn(SoakLoad.CRASHING, false);
    platform.onCrash(
        server -> {
          if (crashing.add(server)) {
            arrivals.troubleBegins(server);
          }
        },
        server ->
            context.runOnContext(
                nothing -> {
                  if (crashed.add(server)) {
                    crashed(server, random);
                  }
                }));
  }

  private void crashed(String server, Random random) {
    arrivals.crashed(platform.server(server).runs());
    Future<Void> unused = links.get(server).close();
    long downMillis = random.nextLong(LEAST_CRASHED_MILLIS, MOST_CRASHED_MILLIS);
    vertx.setTimer(
        downMillis,
        fired -> {
          if (leaving.add(server)) {
            replace(
                service(server), server, platform.version(server), () -> platform.unlist(server));
          }
        });
  }

  private String service(String server) {
    return platform.stage(server).isEmpty() ? PlatformStandIn.DESK : PlatformStandIn.ENGINES;
  }

  private static List<String> choose(List<String> all, double share, Random random) {
    List<String> shuffled = new ArrayList<>(all);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, (int) Math.ceil(share * shuffled.size()));
  }
}
