import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server goes down and up again under its id while the time of day of its machine jumps ahead and
 * back, so that it states an earlier start than before. Later it leaves. No request may reach it
 * once the bound has passed.
 */
final class SteppedClock {

  private static final long DRAIN_MILLIS = 2_000;
  private static final long SERVES_ON_MILLIS = 6_000;

  /** How far the time of day of the server's machine is ahead, as on the site's days. */
  private static final long AHEAD_MILLIS = 2_400;

  private static final Map<String, Long> ARRIVALS = new ConcurrentHashMap<>();
  private static final AtomicInteger SENT = new AtomicInteger();

  private SteppedClock() {}

  public static void main(String[] arguments) throws Exception {
    Stand.open(java.nio.file.Path.of(arguments[0]));
    Store store = new Store();
    Server.Handler handler =
        call -> {
          ARRIVALS.put(call.attempt() + " at " + call.server.id, Stand.millis());
          Thread.sleep(60);
          call.answer(200, "voted at " + call.server.id);
        };
    Server staying = new Server("i-staying", "votes", handler);
    staying.born = System.currentTimeMillis();
    store.put("servers", staying.id, staying.entry("ready"));
    store.put(
        "config",
        "main",
        Stand.configuration(
            7,
            List.of(Stand.route("r-vote", "/vote/", "non_idempotent", "votes", 1, 2_000)),
            List.of(Stand.plainService("votes"))));
    Stand.Daemon daemon = new Stand.Daemon("front-a-1", store.port(), List.of(), Map.of());
    daemon.start();
    daemon.awaitReady(20_000);
    traffic(daemon, 2_000);
    // The time of day of this server's machine is ahead when it starts, and right again soon after.
    Server first = new Server("i-7", "votes", handler);
    first.born = System.currentTimeMillis() + (Stand.trouble() ? AHEAD_MILLIS : 0);
    store.put("servers", first.id, first.entry("ready"));
    Stand.note("server i-7 has started, born " + first.born);
    traffic(daemon, 800);
    first.end();
    Stand.note("server i-7 is down");
    traffic(daemon, 1_000);
    Server again = new Server("i-7", "votes", first.port(), handler);
    again.born = System.currentTimeMillis();
    store.put("servers", again.id, again.entry("ready"));
    Stand.note("server i-7 is up again, born " + again.born);
    traffic(daemon, 8_000);
    store.put("servers", again.id, again.entry("draining"));
    long acknowledged = Stand.millis();
    Stand.note("the store has acknowledged that i-7 is draining");
    Stand.thread(
        "exit",
        () -> {
          Stand.sleep(SERVES_ON_MILLIS);
          store.remove("servers", again.id);
          again.end();
          Stand.note("server i-7 has left");
        });
    traffic(daemon, 9_000);
    long late = 0;
    long atLeaving = 0;
    for (Map.Entry<String, Long> arrival : ARRIVALS.entrySet()) {
      if (arrival.getKey().endsWith(" at i-7")) {
        atLeaving++;
        if (arrival.getValue() > acknowledged + DRAIN_MILLIS) {
          late++;
        }
      }
    }
    Stand.note(
        SENT.get() + " requests sent, " + atLeaving + " arrived at i-7, of these later than "
            + DRAIN_MILLIS + " ms after the acknowledgement: " + late);
    Stand.exit(atLeaving == 0 ? 2 : late > 0 ? 1 : 0);
  }

  private static void traffic(Stand.Daemon daemon, long millis) {
    long until = Stand.millis() + millis;
    while (Stand.millis() < until) {
      String attempt = "vote-" + SENT.incrementAndGet();
      Client.Answer answer =
          Client.call(
              daemon.front, "POST", "/vote/1", Stand.HOST, attempt, 2_000, "",
              Http.bytes("yes " + attempt));
      Stand.note(attempt + ": " + answer + " " + Http.text(answer.body()));
      Stand.sleep(20);
    }
  }
}
