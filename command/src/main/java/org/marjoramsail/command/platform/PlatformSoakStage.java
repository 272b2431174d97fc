package org.marjoramsail.command.platform;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;
import org.marjoramsail.platform.standin.StoreStandIn;

/** The daemons, servers and store that faults are done to. */
final class PlatformSoakStage {

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformStandIn platform;
  private final PlatformProcesses daemons;
  private final long endMillis;

  /**
   * Creates a stage.
   *
   * @param endMillis time at which all faults end
   */
  PlatformSoakStage(
      Vertx vertx,
      Clock clock,
      PlatformStandIn platform,
      PlatformProcesses daemons,
      long endMillis) {
    this.vertx = vertx;
    this.clock = clock;
    this.platform = platform;
    this.daemons = daemons;
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
    List<ServerStandIn> chosen = new ArrayList<>(platform.servers(service));
    Collections.shuffle(chosen, random);
    int count = (int) Math.ceil(servers * chosen.size());
    for (ServerStandIn server : chosen.subList(0, count)) {
      server.mood(mood, requests);
      vertx.setTimer(millis, fired -> server.mood(ServerStandIn.Mood.WELL));
    }
  }

  /** Lets the store misbehave for a time. */
  void disturbStore(StoreStandIn.Mood mood, long millis) {
    platform.store().mood(mood);
    vertx.setTimer(millis, fired -> platform.store().mood(StoreStandIn.Mood.WELL));
  }
}
