import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients look up the same page, on a route that was added by a later version, while others
 * vote. Two of eight servers crash at the same moment and come back after three seconds. From five
 * seconds after their return, the lookups have to be served as the votes are.
 */
final class PopularLookup {

  private static final long STEADY_AFTER_MILLIS = 5_000;

  private final Map<String, int[]> counts = new LinkedHashMap<>();
  private final AtomicInteger ids = new AtomicInteger();
  private volatile String phase = "before";

  private PopularLookup() {}

  public static void main(String[] arguments) throws Exception {
    Stand.open(java.nio.file.Path.of(arguments[0]));
    new PopularLookup().run();
  }

  private void run() throws Exception {
    Store store = new Store();
    Server.Handler handler =
        call -> {
          Thread.sleep(call.path().startsWith("/results") ? 1_500 : 80);
          call.answer(200, "from " + call.server.id);
        };
    List<Server> servers = new ArrayList<>();
    for (int number = 1; number <= 8; number++) {
      Server server = new Server("i-" + number, "desk", handler);
      servers.add(server);
      store.put("servers", server.id, server.entry("ready"));
    }
    Map<String, Object> votes = Stand.route("r-vote", "/vote/", "non_idempotent", "desk", 1, 2_000);
    Map<String, Object> results =
        Stand.route("r-results", "/results/", "idempotent", "desk", 2, 4_000);
    List<Map<String, Object>> services = List.of(Stand.plainService("desk"));
    store.put("config", "main", Stand.configuration(7, List.of(votes), services));
    Stand.Daemon daemon = new Stand.Daemon("front-a-1", store.port(), List.of(), Map.of());
    daemon.start();
    daemon.awaitReady(20_000);
    store.put("config", "main", Stand.configuration(9, List.of(votes, results), services));
    Stand.note("version 9 is acknowledged: it adds the route /results/");
    Stand.sleep(3_000);
    for (int client = 0; client < 16; client++) {
      Stand.thread("lookups", () -> ask(daemon, "lookup", "GET", "/results/7", ""));
      if (client < 6) {
        Stand.thread("votes", () -> ask(daemon, "vote", "POST", "/vote/1", "yes "));
      }
    }
    Stand.sleep(5_000);
    phase = "while servers are down or have just come back";
    if (Stand.trouble()) {
      Server first = servers.get(0);
      Server second = servers.get(1);
      first.end();
      second.end();
      Stand.note("servers " + first.id + " and " + second.id + " have crashed");
      Stand.sleep(3_000);
      for (Server gone : List.of(first, second)) {
        Server back = new Server(gone.id + "-again", "desk", gone.port(), handler);
        store.remove("servers", gone.id);
        store.put("servers", back.id, back.entry("ready"));
        Stand.note("a new boot of " + gone.id + " serves as " + back.id);
      }
    } else {
      Stand.sleep(3_000);
    }
    Stand.sleep(STEADY_AFTER_MILLIS);
    phase = "in steady state again";
    Stand.note("all servers have been well for " + STEADY_AFTER_MILLIS + " ms");
    Stand.sleep(20_000);
    phase = "end";
    Stand.sleep(2_500);
    int[] lookups = count("lookup", "in steady state again");
    int[] voted = count("vote", "in steady state again");
    for (Map.Entry<String, int[]> entry : counts.entrySet()) {
      Stand.note(
          entry.getKey() + ": sent " + entry.getValue()[0] + ", served " + entry.getValue()[1]);
    }
    if (lookups[0] < 20 || voted[0] < 20 || voted[1] == 0) {
      Stand.exit(2);
    }
    double lookupShare = (double) lookups[1] / lookups[0];
    double voteShare = (double) voted[1] / voted[0];
    Stand.note(
        String.format(
            "share served in steady state: lookups on the added route %.3f, votes %.3f",
            lookupShare, voteShare));
    Stand.exit(lookupShare < voteShare / 4 ? 1 : 0);
  }

  private int[] count(String kind, String during) {
    synchronized (counts) {
      return counts.computeIfAbsent(kind + "s " + during, unused -> new int[2]);
    }
  }

  private void ask(
      Stand.Daemon daemon, String kind, String method, String path, String bodyStart) {
    while (!phase.equals("end")) {
      int number = ids.incrementAndGet();
      String during = phase;
      String attempt = kind + "-" + number;
      byte[] body = Http.bytes(bodyStart.isEmpty() ? "" : bodyStart + number);
      Client.Answer answer =
          Client.call(daemon.front, method, path, Stand.HOST, attempt, 4_000, "", body);
      int[] counted = count(kind, during);
      synchronized (counts) {
        counted[0]++;
        counted[1] += answer.status() == 200 ? 1 : 0;
      }
      Stand.note(
          attempt + ": " + answer + " "
              + (answer.status() == 200 ? "" : Http.text(answer.body())));
      Stand.sleep(answer.status() == 200 ? 50 : 250);
    }
  }
}
