import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer writes an entry among the servers, with a field of another type. Some seconds
 * later the two servers of a service are replaced, as in any release. No request may reach a server
 * that leaves once the bound has passed.
 */
final class ForeignEntry {

  private static final long DRAIN_MILLIS = 2_000;

  /** How long a server serves after its report, as the page allows: the bound and a little more. */
  private static final long SERVES_ON_MILLIS = 4_000;

  private static final Map<String, Long> ARRIVALS = new ConcurrentHashMap<>();
  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();

  private ForeignEntry() {}

  public static void main(String[] arguments) throws Exception {
    Stand.open(java.nio.file.Path.of(arguments[0]));
    Store store = new Store();
    Server.Handler handler =
        call -> {
          ARRIVALS.put(call.attempt() + " at " + call.server.id, Stand.millis());
          Thread.sleep(80);
          call.answer(200, "voted at " + call.server.id);
        };
    Server first = new Server("i-first", "votes", handler);
    Server second = new Server("i-second", "votes", handler);
    store.put("servers", first.id, first.entry("ready"));
    store.put("servers", second.id, second.entry("ready"));
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
    traffic(daemon, 3_000);
    if (Stand.trouble()) {
      // All fields are there; "zone" is a number, written with 1,234 digits.
      Map<String, Object> foreign = new LinkedHashMap<>(second.entry("ready"));
      foreign.put("address", "127.0.0.1:9");
      foreign.put("zone", new Json.Num("7".repeat(1_234)));
      store.put("servers", "inventory-key", foreign);
      Stand.note("another writer has written the entry inventory-key: its zone is a number");
    }
    traffic(daemon, 4_000);
    Server third = new Server("i-third", "votes", handler);
    Server fourth = new Server("i-fourth", "votes", handler);
    store.put("servers", third.id, third.entry("ready"));
    store.put("servers", fourth.id, fourth.entry("ready"));
    Stand.note("two new servers are ready");
    traffic(daemon, 3_000);
    Map<String, Long> acknowledged = new LinkedHashMap<>();
    for (Server leaving : List.of(first, second)) {
      store.put("servers", leaving.id, leaving.entry("draining"));
      acknowledged.put(leaving.id, Stand.millis());
      Stand.note("the store has acknowledged that " + leaving.id + " is draining");
      Stand.thread(
          "exit",
          () -> {
            Stand.sleep(SERVES_ON_MILLIS);
            store.remove("servers", leaving.id);
            leaving.end();
            Stand.note(leaving.id + " has left");
          });
      traffic(daemon, 1_000);
    }
    traffic(daemon, 5_000);
    int sentBefore = SENT.get();
    int servedBefore = SERVED.get();
    Stand.note("both old servers have left; the two new ones are well");
    traffic(daemon, 6_000);
    Stand.note(
        "after that: " + (SENT.get() - sentBefore) + " sent, " + (SERVED.get() - servedBefore)
            + " served");
    long late = 0;
    long atLeaving = 0;
    for (Map.Entry<String, Long> arrival : ARRIVALS.entrySet()) {
      for (Map.Entry<String, Long> leaving : acknowledged.entrySet()) {
        if (arrival.getKey().endsWith(" at " + leaving.getKey())) {
          atLeaving++;
          if (arrival.getValue() > leaving.getValue() + DRAIN_MILLIS) {
            late++;
          }
        }
      }
    }
    Stand.note(
        SENT.get() + " requests sent, " + ARRIVALS.size() + " arrived, " + atLeaving
            + " of them at the servers that leave, of these later than " + DRAIN_MILLIS
            + " ms after the acknowledgement: " + late);
    Stand.exit(atLeaving == 0 ? 2 : late > 0 ? 1 : 0);
  }

  private static void traffic(Stand.Daemon daemon, long millis) {
    long until = Stand.millis() + millis;
    while (Stand.millis() < until) {
      String attempt = "vote-" + SENT.incrementAndGet();
      Client.Answer answer =
          Client.call(
              daemon.front, "POST", "/vote/1", Stand.HOST, attempt, 2_000, "", Http.bytes("yes"));
      if (answer.status() == 200) {
        SERVED.incrementAndGet();
      }
      Stand.note(attempt + ": " + answer + " " + Http.text(answer.body()));
      Stand.sleep(30);
    }
  }
}
