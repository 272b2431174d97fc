package org.marjoramsail.command.capacity;

import io.vertx.core.Vertx;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.daemon.settings.ClusterSettings;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.HostSettings;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformStandIn;

/** A daemon alone, without a configuration: what its timers cost when there is nothing to do. */
final class IdleDaemon {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long LIMIT_SECONDS = 60;
  private static final int WARM_UP_SECONDS = 10;
  private static final int SECONDS = 10;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Bench bench;

  IdleDaemon(Bench bench) {
    this.bench = bench;
  }

  /** The share of a core that its event loop takes. */
  double core() throws CapacityException {
    Vertx standIns = Vertx.vertx();
    MeasuredDaemons daemons = new MeasuredDaemons();
    PlatformStandIn platform =
        new PlatformStandIn(
            standIns,
            PlatformSettings.defaults(),
            bench.clock(),
            new SplittableRandom(bench.seed()));
    try {
      int port = Waiting.on("start the platform", platform.start(), LIMIT_SECONDS);
      Settings settings =
          Settings.of(
              new HostSettings("entry-1", "availability-zone-0", "region-a"),
              new ClusterSettings("local", "key of a daemon alone"),
              ListenSettings.onFreePorts(LOOPBACK),
              new Endpoint(LOOPBACK, port));
      Waiting.on("start the daemon", daemons.start(settings), LIMIT_SECONDS);
      Waiting.on("idle", standIns.timer(WARM_UP_SECONDS, TimeUnit.SECONDS), LIMIT_SECONDS);
      double before = daemons.loop().processorMillis();
      Waiting.on("idle", standIns.timer(SECONDS, TimeUnit.SECONDS), LIMIT_SECONDS);
      return (daemons.loop().processorMillis() - before) / (SECONDS * MILLIS_PER_SECOND);
    } finally {
      Waiting.on("stop", daemons.loop().close().eventually(standIns::close), LIMIT_SECONDS);
    }
  }
}
