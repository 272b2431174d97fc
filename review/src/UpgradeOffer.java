import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients with the HTTP client of the Java platform, which offers in its HTTP/1.1 requests to go on
 * with HTTP/2 ("Connection: Upgrade, HTTP2-Settings"). A server that speaks HTTP/1.1 ignores that.
 * Without the disruption the same clients make no such offer.
 */
final class UpgradeOffer {

  private static final int CLIENTS = 8;
  private static final int REQUESTS = 25;

  private UpgradeOffer() {}

  public static void main(String[] arguments) throws Exception {
    Stand.open(java.nio.file.Path.of(arguments[0]));
    Store store = new Store();
    Set<String> run = ConcurrentHashMap.newKeySet();
    Server.Handler handler =
        call -> {
          run.add(call.attempt());
          Thread.sleep(20);
          call.answer(200, "served " + call.body.length + " bytes");
        };
    for (int number = 1; number <= 3; number++) {
      Server server = new Server("i-" + number, "desk", handler);
      store.put("servers", server.id, server.entry("ready"));
    }
    Map<String, Object> votes = Stand.route("r-vote", "/vote/", "non_idempotent", "desk", 1, 2_000);
    Map<String, Object> checks = Stand.route("r-check", "/check/", "idempotent", "desk", 2, 2_000);
    // The client names the host by its address.
    votes.put("host", "127.0.0.1");
    checks.put("host", "127.0.0.1");
    store.put(
        "config",
        "main",
        Stand.configuration(7, List.of(votes, checks), List.of(Stand.plainService("desk"))));
    Stand.Daemon daemon = new Stand.Daemon("front-a-1", store.port(), List.of(), Map.of());
    daemon.start();
    daemon.awaitReady(20_000);
    Stand.sleep(3_500);
    int sent = 0;
    int served = 0;
    int denied = 0;
    for (int client = 1; client <= CLIENTS; client++) {
      HttpClient.Builder builder = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1));
      if (!Stand.trouble()) {
        builder.version(HttpClient.Version.HTTP_1_1);
      }
      HttpClient http = builder.build();
      for (int number = 1; number <= REQUESTS; number++) {
        String attempt = "request-" + client + "-" + number;
        boolean vote = number % 2 == 0;
        String uri = "http://127.0.0.1:" + daemon.front + (vote ? "/vote/1" : "/check/1");
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create(uri))
                .timeout(Duration.ofSeconds(4))
                .header("Attempt-Id", attempt)
                .header("Deadline-Ms", "2000");
        if (vote) {
          request.POST(HttpRequest.BodyPublishers.ofString("yes " + attempt));
        }
        sent++;
        try {
          HttpResponse<String> answer =
              http.send(request.build(), HttpResponse.BodyHandlers.ofString());
          boolean sealed = answer.headers().firstValue("response-seal").isPresent();
          if (answer.statusCode() == 200 && sealed) {
            served++;
          } else if (answer.statusCode() >= 300 && answer.statusCode() < 500 && !sealed) {
            denied++;
          }
          Stand.note(
              attempt + ": " + answer.version() + " status " + answer.statusCode() + ", run "
                  + run.contains(attempt) + ", " + answer.body());
        } catch (IOException broken) {
          Stand.note(attempt + ": " + broken + ", run " + run.contains(attempt));
        }
      }
    }
    double allowed = 5 + sent / 500.0;
    Stand.note(
        sent + " proper requests, " + served + " served, " + denied
            + " ended with a 3xx or 4xx of the daemon; allowed: " + allowed);
    Stand.exit(denied > allowed ? 1 : 0);
  }
}
