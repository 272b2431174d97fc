package org.marjoramsail.command.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Random;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.standin.load.DrainLog;

/**
 * Asks each daemon of a soak directly for routes that were just added or dropped. Runs on one event
 * loop.
 */
final class RouteProbes {

  private static final long PERIOD_MILLIS = 250;

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformProcesses daemons;
  private final SoakArrivals arrivals;
  private final RouteLog log;
  private final Random random;
  private final CallerStandIn caller;
  private int sequence;

  RouteProbes(
      Vertx vertx,
      Clock clock,
      PlatformProcesses daemons,
      SoakArrivals arrivals,
      RouteLog log,
      Random random) {
    this.vertx = vertx;
    this.clock = clock;
    this.daemons = daemons;
    this.arrivals = arrivals;
    this.log = log;
    this.random = random;
    this.caller = new CallerStandIn(vertx, LoopbackPlatform.ADDRESS);
  }

  /** Sends requests until a time, once the first route was added. */
  void start(long untilMillis) {
    vertx.setPeriodic(
        PERIOD_MILLIS,
        timer -> {
          if (clock.millis() >= untilMillis) {
            vertx.cancelTimer(timer);
          } else if (log.most() > 0) {
            daemons.entries().forEach(this::ask);
          }
        });
  }

  private void ask(PlatformProcesses.Entry entry) {
    String request = "probe-" + sequence++;
    int last = log.newest() > 0 && random.nextBoolean() ? log.newest() : log.most();
    int route = random.nextInt(3) == 0 ? random.nextInt(last) : last - 1;
    long sentAtMillis = clock.millis();
    arrivals.requested(PlatformStandIn.DESK, request, entry.host());
    Future<CallerStandIn.Answer> unused =
        caller
            .call(
                entry.caller().address(),
                entry.caller().port(),
                HttpMethod.POST,
                PlatformStandIn.HOST,
                PlatformStandIn.furtherRoute(route) + request,
                Map.of(CallerStandIn.ATTEMPT, request))
            .onSuccess(
                answer ->
                    log.responded(
                        entry.host(),
                        route,
                        answer.status(),
                        sentAtMillis,
                        arrivals.isCalm(entry.host()) && arrivals.isCalm(DrainLog.STORE)));
  }
}
