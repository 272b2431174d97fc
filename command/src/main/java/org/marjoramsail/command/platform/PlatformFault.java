package org.marjoramsail.command.platform;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;
import org.marjoramsail.platform.standin.StoreStandIn;
import org.marjoramsail.standin.network.LinkStandIn;

/** Kinds of faults of a soak on the platform's path. */
public enum PlatformFault {
  /** Some daemons, or all, are killed and started again. */
  DAEMON_KILL {
    @Override
    boolean isPossible(PlatformSoakStage stage) {
      return stage.daemons().isWhole();
    }

    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int count = stage.daemons().size();
      int killed = random.nextInt(3) == 0 ? count : 1 + random.nextInt(count);
      stage.daemons().killAtRandom(killed, 100 + random.nextInt(MOST_DOWN_MILLIS), random);
    }
  },
  /** Some daemons stand still for a time. */
  DAEMON_PAUSE {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int paused = 1 + random.nextInt(Math.max(1, stage.daemons().size() / 2));
      stage.daemons().pauseAtRandom(paused, 300 + random.nextInt(MOST_PAUSE_MILLIS), random);
    }
  },
  /** Daemons are told to stop one after the other, and are started again. */
  DAEMON_ROLL {
    @Override
    boolean isPossible(PlatformSoakStage stage) {
      return stage.daemons().isWhole();
    }

    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.daemons().stopInTurn(200 + random.nextInt(800), stage.remainingMillis());
    }
  },
  /** Servers respond that they have no room. */
  SERVERS_FULL(ServerStandIn.Mood.FULL),
  /** Servers run requests and respond with a failure. */
  SERVERS_FAIL(ServerStandIn.Mood.FAILING),
  /** Servers run requests and never respond. */
  SERVERS_HANG(ServerStandIn.Mood.MUTE),
  /** Servers run requests and close the connection without a response. */
  RESPONSES_LOST(ServerStandIn.Mood.LOSING_ANSWERS),
  /** Servers close connections in the middle of a response. */
  RESPONSES_CUT(ServerStandIn.Mood.CUTTING),
  /** Servers respond with the identifier of another request. */
  RESPONSES_CROSSED(ServerStandIn.Mood.CROSSING),
  /** Servers send a share of their responses a second time, also with another outcome. */
  RESPONSES_REPEATED {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      repeatResponses(stage, random.nextDouble(), random);
    }
  },
  /** The same, and all of these bear the identifier of their request. */
  RESPONSES_REPEATED_WITH_ID {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      repeatResponses(stage, 1, random);
    }
  },
  /** Servers send interim responses or bodies without end. */
  SERVERS_ENDLESS(ServerStandIn.Mood.ENDLESS),
  /** Engines discard KV caches before they are fetched. */
  KV_EXPIRES {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.disturb(
          PlatformStandIn.ENGINES,
          ServerStandIn.Mood.EXPIRING,
          random.nextDouble(),
          1,
          millis(random),
          random);
    }
  },
  /** Servers are replaced one for one, and say that they leave, or are removed from the list. */
  SERVERS_LEAVE {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.replaceServers(
          service(random), random.nextDouble() / 2, random.nextInt(3) > 0, millis(random), random);
    }
  },
  /** Engines are replaced one after the other by engines of another software version. */
  ENGINES_RELEASED {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.releaseEngines(
          random.nextDouble(),
          100 + random.nextInt(MOST_RELEASE_GAP_MILLIS),
          millis(random),
          random);
    }
  },
  /** The network paths to servers are cut for a time. */
  SERVER_PATHS_CUT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int millis = LEAST_MILLIS + random.nextInt(MOST_CUT_MILLIS - LEAST_MILLIS);
      stage.cutPaths(service(random), random.nextDouble(), millis, random);
    }
  },
  /**
   * The network paths from some hosts to servers are cut for a time. Their connections are still
   * accepted, so that these hosts take the servers for reached and no other host relays calls.
   */
  HOST_PATHS_CUT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int hosts = 1 + random.nextInt(Math.max(1, stage.daemons().size() / 2));
      int millis = LEAST_MILLIS + random.nextInt(MOST_CUT_MILLIS - LEAST_MILLIS);
      stage.cutPathsOfHosts(service(random), hosts, share(random), millis, random);
    }
  },
  /** The network paths of daemons to the store are cut for a time. */
  STORE_PATHS_CUT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int cut = 1 + random.nextInt(Math.max(1, stage.daemons().size() / 2));
      stage.daemons().cutStorePaths(cut, millis(random), random);
    }
  },
  /**
   * Several daemons lose their paths to the store together for a moment, while a server leaves; the
   * connections that were open may stay silent or be closed.
   */
  ZONE_LOSES_STORE {
    /** Requests are judged only at daemons that were not disturbed for some time. */
    @Override
    boolean isPossible(PlatformSoakStage stage) {
      return stage.daemons().hadStoreFor(JUDGED_MILLIS);
    }

    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int daemons = stage.daemons().size();
      int cut = random.nextBoolean() ? daemons : 1 + random.nextInt(daemons);
      int millis =
          LEAST_ZONE_CUT_MILLIS + random.nextInt(MOST_ZONE_CUT_MILLIS - LEAST_ZONE_CUT_MILLIS);
      LinkStandIn.OpenConnections[] states = LinkStandIn.OpenConnections.values();
      LinkStandIn.OpenConnections open = states[random.nextInt(states.length)];
      int leaveMillis = 1 + random.nextInt(millis + LONGEST_LEAVE_DELAY_MILLIS);
      boolean announced = random.nextInt(4) == 0;
      stage.daemons().cutStorePathsTogether(cut, millis, open, random);
      stage.replaceServersLater(service(random), leaveMillis, announced, millis(random), random);
    }
  },
  /** The platform's store does not respond. */
  STORE_SILENT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.disturbStore(StoreStandIn.Mood.SILENT, millis(random));
    }
  },
  /** The platform's store does not respond, and entries of servers that run expire in it. */
  STORE_LOSES_ENTRIES {
    @Override
    boolean isPossible(PlatformSoakStage stage) {
      return !stage.storeLosesEntries();
    }

    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int millis = LEAST_EXPIRY_MILLIS + random.nextInt(MOST_MILLIS - LEAST_EXPIRY_MILLIS);
      stage.loseEntries(share(random), millis, random);
    }
  },
  /** Servers send nothing for a moment on connections that stay open, and go on. */
  SERVERS_PAUSE {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int millis =
          LEAST_SERVER_PAUSE_MILLIS
              + random.nextInt(MOST_SERVER_PAUSE_MILLIS - LEAST_SERVER_PAUSE_MILLIS);
      stage.pauseServers(service(random), share(random), millis, random);
    }
  },
  /** Servers send nothing for several seconds on connections that stay open, and go on. */
  SERVERS_SILENT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int millis = LEAST_SILENCE_MILLIS + random.nextInt(MOST_MILLIS - LEAST_SILENCE_MILLIS);
      stage.pauseServers(service(random), share(random), millis, random);
    }
  },
  /** A configuration with another timeout of the routes comes into force. */
  TIMEOUTS_CHANGED {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      stage.changeTimeouts(
          LEAST_TIMEOUT_MILLIS + random.nextInt(MOST_TIMEOUT_MILLIS - LEAST_TIMEOUT_MILLIS));
    }
  },
  /** A request that crashes each server that runs it comes again and again at all daemons. */
  CRASHING_CONTENT {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      String path = CRASHING_PATHS.get(random.nextInt(CRASHING_PATHS.size()));
      int gapMillis = LEAST_CRASHING_GAP_MILLIS + random.nextInt(MOST_CRASHING_GAP_MILLIS);
      int millis = LEAST_CRASHING_MILLIS + random.nextInt(MOST_MILLIS);
      stage.sendCrashingContent(path, gapMillis, millis);
    }
  },
  /** Daemons are told to read their settings again, several times, also while others stop. */
  DAEMON_RELOAD {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int count = 1 + random.nextInt(stage.daemons().size());
      int times = 1 + random.nextInt(MOST_IN_SERIES);
      int gapMillis = LEAST_SERIES_GAP_MILLIS + random.nextInt(MOST_SERIES_GAP_MILLIS);
      stage.reloadInSeries(count, times, gapMillis, new Random(random.nextLong()));
    }
  },
  /** Several configurations with other timeouts of the routes come into force one by one. */
  CONFIGURATION_SERIES {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      List<Long> timeoutsMillis =
          random
              .longs(2 + random.nextInt(MOST_IN_SERIES), LEAST_TIMEOUT_MILLIS, MOST_TIMEOUT_MILLIS)
              .boxed()
              .toList();
      int gapMillis = LEAST_SERIES_GAP_MILLIS + random.nextInt(MOST_SERIES_GAP_MILLIS);
      stage.changeTimeoutsInSeries(timeoutsMillis, gapMillis);
    }
  },
  /** Some daemons get little processor time for a time. */
  DAEMON_SLOW {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int slowed = 1 + random.nextInt(Math.max(1, stage.daemons().size() / 2));
      stage.daemons().slowAtRandom(slowed, millis(random), random);
    }
  },
  /** The platform's store sends its responses slowly for a time. */
  STORE_SLOW {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      int bytesPerSecond =
          LEAST_STORE_BYTES_PER_SECOND + random.nextInt(MOST_STORE_BYTES_PER_SECOND);
      stage.slowStore(bytesPerSecond, millis(random));
    }
  },
  /** Configurations with other numbers of routes come into force one by one. */
  ROUTES_CHANGED {
    @Override
    void begin(PlatformSoakStage stage, Random random) {
      List<Integer> counts =
          random.ints(1 + random.nextInt(MOST_IN_SERIES), 0, MOST_ROUTES).boxed().toList();
      int gapMillis = LEAST_SERIES_GAP_MILLIS + random.nextInt(MOST_SERIES_GAP_MILLIS);
      stage.changeRoutesInSeries(counts, gapMillis);
    }
  };

  /** Bounds of the rate of a slow store. */
  private static final int LEAST_STORE_BYTES_PER_SECOND = 60_000;

  private static final int MOST_STORE_BYTES_PER_SECOND = 400_000;

  private static final int MOST_ROUTES = 1_500;

  /** Shortest time in which entries expire: two heartbeats of servers, in milliseconds. */
  private static final int LEAST_EXPIRY_MILLIS = 2_400;

  /** Bounds, in milliseconds, of the time for which several daemons lose the store together. */
  private static final int LEAST_ZONE_CUT_MILLIS = 300;

  private static final int MOST_ZONE_CUT_MILLIS = 5_800;

  /** Time after such a cut in which none begins, in milliseconds. */
  private static final long JUDGED_MILLIS = 6_500;

  /** Longest time after the end of such a cut at which a server leaves, in milliseconds. */
  private static final int LONGEST_LEAVE_DELAY_MILLIS = 1_000;

  /** Least share of the responses that are sent a second time. */
  private static final double LEAST_REPEATED = 0.2;

  private static final int MOST_DOWN_MILLIS = 2_000;
  private static final int MOST_PAUSE_MILLIS = 3_700;
  private static final int MOST_RELEASE_GAP_MILLIS = 500;
  private static final int LEAST_MILLIS = 1_000;
  private static final int MOST_MILLIS = 8_000;

  /** Long enough for retransmissions that arrive more than 3 s after the end of a cut. */
  private static final int MOST_CUT_MILLIS = 10_000;

  /** Bounds, in milliseconds, of a pause of a server for which daemons have to wait. */
  private static final int LEAST_SERVER_PAUSE_MILLIS = 800;

  private static final int MOST_SERVER_PAUSE_MILLIS = 1_600;

  /** Longer than a pause after which daemons may break off a response. */
  private static final int LEAST_SILENCE_MILLIS = 2_500;

  /** Above the deadline of callers, so that no response is ended by the timeout of its route. */
  private static final int LEAST_TIMEOUT_MILLIS = 3_200;

  private static final int MOST_TIMEOUT_MILLIS = 8_000;

  private static final int MOST_IN_SERIES = 5;
  private static final int LEAST_SERIES_GAP_MILLIS = 50;
  private static final int MOST_SERIES_GAP_MILLIS = 500;

  private static final List<String> CRASHING_PATHS =
      List.of(
          PlatformStandIn.RESUMABLE,
          PlatformStandIn.STREAM,
          PlatformStandIn.ONCE,
          PlatformStandIn.REPEATABLE);

  private static final int LEAST_CRASHING_GAP_MILLIS = 50;
  private static final int MOST_CRASHING_GAP_MILLIS = 300;

  /** Long enough for requests after the time in which daemons report crashes to each other. */
  private static final int LEAST_CRASHING_MILLIS = 6_000;

  private final Optional<ServerStandIn.Mood> mood;

  PlatformFault() {
    this.mood = Optional.empty();
  }

  /** Creates a fault of the servers of one service. */
  PlatformFault(ServerStandIn.Mood mood) {
    this.mood = Optional.of(mood);
  }

  /**
   * Returns whether the fault may begin now. A fleet that is killed again before it has started
   * would show nothing but lost connections.
   */
  boolean isPossible(PlatformSoakStage stage) {
    return true;
  }

  /** Starts the fault, which ends by itself. */
  void begin(PlatformSoakStage stage, Random random) {
    String service = service(random);
    double servers = share(random);
    stage.disturb(
        service, mood.orElseThrow(), servers, random.nextDouble(), millis(random), random);
  }

  /** Returns the name by which commands and reports call it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void repeatResponses(PlatformSoakStage stage, double withId, Random random) {
    double responses = LEAST_REPEATED + random.nextDouble() * (1 - LEAST_REPEATED);
    stage.repeatResponses(
        service(random), share(random), responses, withId, millis(random), random);
  }

  private static String service(Random random) {
    return random.nextBoolean() ? PlatformStandIn.ENGINES : PlatformStandIn.DESK;
  }

  private static double share(Random random) {
    return random.nextBoolean() ? 1 : random.nextDouble();
  }

  private static int millis(Random random) {
    return LEAST_MILLIS + random.nextInt(MOST_MILLIS - LEAST_MILLIS);
  }
}
