import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model server crashes and starts again under its id. It serves at once, and writes its entry at
 * its next beat. The streams that the new boot is sending then are sound: their channels may not be
 * closed before their end.
 */
final class RestartedServer {

  private static final int EVENTS = 60;
  private static final long DOWN_MILLIS = 800;

  /** Less than the time between two beats of a server, which is 1,200 ms. */
  private static final long FIRST_BEAT_MILLIS = 1_000;

  private static final Set<String> AT_NEW_BOOT = ConcurrentHashMap.newKeySet();
  private static final Set<String> CUT_BY_DAEMON = ConcurrentHashMap.newKeySet();
  private static final Set<String> INCOMPLETE = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger IDS = new AtomicInteger();
  private static final AtomicInteger WHOLE = new AtomicInteger();
  private static volatile boolean end;

  private RestartedServer() {}

  public static void main(String[] arguments) throws Exception {
    Stand.open(java.nio.file.Path.of(arguments[0]));
    Store store = new Store();
    Server[] servers = new Server[3];
    for (int number = 0; number < 3; number++) {
      servers[number] = engine("e-" + number, 0, false);
      store.put("servers", servers[number].id, servers[number].entry("ready"));
    }
    Map<String, Object> service = Stand.plainService("llm");
    Map<String, Object> engine = new LinkedHashMap<>();
    engine.put("slots", 16);
    engine.put("kv_capacity_tokens", 29_250);
    engine.put("kv_token_bytes", 18_432);
    engine.put("link_mbps", 140_000);
    engine.put("stride", 1);
    engine.put("kv_hold_s", new Json.Num("0.5"));
    engine.put("role_switch_s", new Json.Num("6.0"));
    service.put("engine", engine);
    store.put(
        "config",
        "main",
        Stand.configuration(
            7,
            List.of(Stand.route("r-summary", "/summary/", "streaming", "llm", 1, 14_000)),
            List.of(service)));
    Stand.Daemon daemon = new Stand.Daemon("front-a-1", store.port(), List.of(), Map.of());
    daemon.start();
    daemon.awaitReady(20_000);
    for (int client = 0; client < 40; client++) {
      Stand.thread("client", () -> read(daemon));
    }
    Stand.sleep(5_000);
    if (Stand.trouble()) {
      servers[0].end();
      Stand.note("server e-0 has crashed");
      Stand.sleep(DOWN_MILLIS);
      Server again = engine("e-0", servers[0].port(), true);
      Stand.note("server e-0 has started again and serves");
      Stand.sleep(FIRST_BEAT_MILLIS);
      store.put("servers", again.id, again.entry("ready"));
      Stand.note("server e-0 has written its entry");
    }
    Stand.sleep(12_000);
    end = true;
    Stand.sleep(5_000);
    Set<String> broken = ConcurrentHashMap.newKeySet();
    broken.addAll(CUT_BY_DAEMON);
    broken.retainAll(INCOMPLETE);
    Stand.note(
        WHOLE.get() + " streams came whole, " + INCOMPLETE.size() + " did not; "
            + AT_NEW_BOOT.size() + " reached the new boot, of which the daemon closed both channels"
            + " before the end: " + broken.size() + " " + broken);
    Stand.exit(WHOLE.get() == 0 ? 2 : broken.size() > 3 ? 1 : 0);
  }

  private static Server engine(String id, int port, boolean newBoot) throws IOException {
    Server server =
        new Server(
            id,
            "llm",
            port,
            call -> {
              if (call.attempt() == null || "prefill".equals(call.head.get("stage"))) {
                call.write(call.response(421, "", ""));
                return;
              }
              if (newBoot) {
                AT_NEW_BOOT.add(call.attempt());
              }
              try {
                stream(call);
              } catch (IOException closed) {
                if (newBoot) {
                  CUT_BY_DAEMON.add(call.attempt());
                  Stand.note(call.attempt() + ": its channel to the new boot was closed");
                }
                throw closed;
              }
            });
    server.stage = "decode";
    server.slots = 16;
    server.born = System.currentTimeMillis();
    return server;
  }

  private static void stream(Server.Call call) throws IOException, InterruptedException {
    call.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + call.attempt() + "\r\nResponse-Seal: seal."
            + call.server.id + "." + call.attempt()
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      Thread.sleep(50);
      String text = "id: " + event + "\ndata: piece " + event + " of " + EVENTS + "\n\n";
      call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    call.write("0\r\n\r\n");
  }

  /** Reads one stream after the other on a kept channel. */
  private static void read(Stand.Daemon daemon) {
    Client kept = null;
    while (!end) {
      String attempt = "summary-" + IDS.incrementAndGet();
      try {
        if (kept == null) {
          kept = new Client(daemon.front);
        }
        kept.request(
            "POST", "/summary/1", Stand.HOST, attempt, 14_000,
            "Model: m\r\nToken-Count: 300,80\r\nPrompt-Prefix: aa:200,"
                + Integer.toHexString(attempt.hashCode()) + ":100\r\n",
            Http.bytes("summarise " + attempt));
        Client.Answer answer = kept.answer(15_000);
        if (answer.status() == 200 && answer.complete()) {
          WHOLE.incrementAndGet();
        } else if (!answer.complete()) {
          INCOMPLETE.add(attempt);
        }
        Stand.note(attempt + ": " + answer + ", " + answer.body().length + " bytes");
        if (!answer.complete() || "close".equals(answer.header("connection"))) {
          kept.close();
          kept = null;
        }
      } catch (IOException broken) {
        kept = null;
      }
      Stand.sleep(20);
    }
  }
}
