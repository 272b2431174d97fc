package org.marjoramsail.command.platform;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Random;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.PlatformStandIn;

/**
 * Callers of a soak that send one request each and close their connections before the response is
 * complete: half of them at once, the others later. Runs on one event loop.
 */
final class LeavingCallers {

  private static final List<String> PATHS =
      List.of(
          PlatformStandIn.REPEATABLE,
          PlatformStandIn.ONCE,
          PlatformStandIn.RESUMABLE,
          PlatformStandIn.STREAM);

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final String CONTENT = "content";

  /** A busy daemon takes longer to read a request. */
  private static final int MOST_HASTE_MILLIS = 20;

  private static final int LEAST_PATIENCE_MILLIS = 50;

  /** A stream that has begun lasts for over half a second more. */
  private static final int MOST_PATIENCE_MILLIS = 350;

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformSoakSetup setup;
  private final PlatformStandIn platform;
  private final PlatformProcesses daemons;
  private final SoakArrivals arrivals;
  private final Random random;
  private final NetClient client;
  private long endMillis;
  private int sequence;

  LeavingCallers(
      Vertx vertx,
      Clock clock,
      PlatformSoakSetup setup,
      PlatformStandIn platform,
      PlatformProcesses daemons,
      SoakArrivals arrivals,
      Random random) {
    this.vertx = vertx;
    this.clock = clock;
    this.setup = setup;
    this.platform = platform;
    this.daemons = daemons;
    this.arrivals = arrivals;
    this.random = random;
    this.client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
  }

  /** Sends requests from now on until a time. */
  void start(long untilMillis) {
    if (setup.leavingPerSecond() > 0) {
      endMillis = untilMillis;
      sendLater();
    }
  }

  private void sendLater() {
    double pauseMillis =
        -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / setup.leavingPerSecond();
    vertx.setTimer(
        Math.max(1, Math.round(pauseMillis)),
        fired -> {
          if (clock.millis() < endMillis) {
            send();
            sendLater();
          }
        });
  }

  private void send() {
    List<PlatformProcesses.Entry> entries = daemons.entries();
    String path = PATHS.get(random.nextInt(PATHS.size()));
    String request = "leaving-" + sequence++;
    int patienceMillis =
        random.nextBoolean()
            ? 1 + random.nextInt(MOST_HASTE_MILLIS)
            : LEAST_PATIENCE_MILLIS + random.nextInt(MOST_PATIENCE_MILLIS - LEAST_PATIENCE_MILLIS);
    if (entries.isEmpty()) {
      return;
    }
    PlatformProcesses.Entry entry = entries.get(random.nextInt(entries.size()));
    boolean isStream = PlatformStandIn.isStream(path);
    arrivals.requested(
        isStream ? PlatformStandIn.ENGINES : PlatformStandIn.DESK, request, entry.host());
    client
        .connect(entry.caller().port(), entry.caller().address())
        .onSuccess(
            socket -> {
              socket.exceptionHandler(reset -> {});
              socket.write(bytes(path, request, isStream));
              vertx.setTimer(
                  patienceMillis, fired -> leave(socket, request, entry.host(), isStream));
            });
  }

  private void leave(NetSocket socket, String request, String host, boolean isStream) {
    boolean isInterrupted = isStream && platform.isAtWork(request);
    arrivals.left(request, host);
    socket.close();
    if (isInterrupted) {
      vertx.setTimer(
          DepartureLog.ALLOWED_MILLIS,
          fired -> arrivals.judgeDeparture(request, platform.isAtWork(request)));
    }
  }

  private static String bytes(String path, String request, boolean isStream) {
    String stream = isStream ? "accept: text/event-stream\r\ntoken-count: 100,66\r\n" : "";
    return "POST "
        + path
        + request
        + " HTTP/1.1\r\nhost: "
        + PlatformStandIn.HOST
        + "\r\n"
        + CallerStandIn.ATTEMPT
        + ": "
        + request
        + "\r\ndeadline-ms: "
        + CallerStandIn.DEADLINE_MILLIS
        + "\r\n"
        + stream
        + "content-length: "
        + CONTENT.length()
        + "\r\n\r\n"
        + CONTENT;
  }
}
