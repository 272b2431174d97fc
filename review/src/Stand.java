import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, the daemons as processes, the configuration. */
final class Stand {

  static final String HOST = "desk.example";
  private static final long START = System.nanoTime();
  private static PrintWriter record;
  private static Path temporary;
  private static final List<Daemon> DAEMONS = new ArrayList<>();
  private static final Random RANDOM = new Random();
  private static final Set<Integer> PORTS = new HashSet<>();

  private Stand() {}

  /** Whether the disruption is made. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  static void thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  static synchronized void open(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(Stand::endAll));
  }

  static synchronized void note(String text) {
    String line = String.format("%9.3f  %s", millis() / 1000.0, text);
    record.println(line);
    System.out.println(line);
  }

  /** Ends all processes, and the program with a code. */
  static void exit(int code) {
    endAll();
    note(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "the case did not run");
    record.flush();
    Runtime.getRuntime().halt(code);
  }

  static synchronized void endAll() {
    for (Daemon daemon : DAEMONS) {
      daemon.process.destroyForcibly();
      try {
        daemon.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    try (var files = Files.walk(temporary)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException | RuntimeException gone) {
      return;
    }
  }

  /** Returns a free port below those that the system gives to outgoing channels. */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = 15_000 + RANDOM.nextInt(15_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (PORTS.add(port)) {
          return socket.getLocalPort();
        }
      } catch (IOException taken) {
        continue;
      }
    }
    throw new IOException("no free port was found");
  }

  /** A daemon as a process, started as the deploy file says. */
  static final class Daemon {
    final String name;
    final int front;
    final int ready;
    final int control;
    final int relay;
    private final Path settings;
    Process process;

    Daemon(String name, int storePort, List<Daemon> seeds, Map<String, String> overrides)
        throws IOException {
      this.name = name;
      front = freePort();
      ready = freePort();
      control = freePort();
      relay = freePort();
      settings = temporary.resolve(name + ".json");
      List<String> peers = new ArrayList<>();
      for (Daemon seed : seeds) {
        peers.add("\"127.0.0.1:" + seed.control + "\"");
      }
      peers.add("\"127.0.0.1:" + control + "\"");
      // The template of the deploy file, filled in as the platform does, on loopback.
      String text = Files.readString(Path.of("deploy/settings.json"));
      Map<String, String> values = new LinkedHashMap<>();
      values.put("{{node_name|json}}", "\"" + name + "\"");
      values.put("{{zone|json}}", "\"zone-a\"");
      values.put("{{region|json}}", "\"region-a\"");
      values.put("{{listen.front|json}}", "\"127.0.0.1:" + front + "\"");
      values.put("{{listen.ready|json}}", "\"127.0.0.1:" + ready + "\"");
      values.put("{{listen.control|json}}", "\"127.0.0.1:" + control + "\"");
      values.put("{{ip}}:9464", "127.0.0.1:" + freePort());
      values.put("{{#internal_ports.0}}", "");
      values.put("{{/internal_ports.0}}", "");
      values.put("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + relay);
      values.put("{{platform.address|json}}", "\"127.0.0.1:" + storePort + "\"");
      values.put("[{{#seeds}}{{.|json}}{{,}}{{/seeds}}]", "[" + String.join(",", peers) + "]");
      values.put("{{zones|json}}", "{\"zone-a\":\"region-a\"}");
      values.put("{{bounds.retry_budget_ratio|json}}", "0.2");
      values.put("{{bounds.budget_slack|json}}", "54");
      values.put("{{bounds.grace_s|json}}", "8");
      values.put("{{bounds.lease_ms|json}}", "3000");
      values.put("{{bounds.contact_ms|json}}", "3000");
      values.put("{{bounds.config_apply_ms|json}}", "2000");
      values.put("{{bounds.drain_ms|json}}", "2000");
      values.put("{{heartbeat_ms|json}}", "1200");
      values.put("{{limits.cpu_share|json}}", "0.75");
      values.put("{{limits.cpu_cores|json}}", "1");
      values.put(
          "{{#bounds.require_fence}}true{{/bounds.require_fence}}"
              + "{{^bounds.require_fence}}false{{/bounds.require_fence}}",
          "true");
      values.put("{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}", "true");
      values.putAll(overrides);
      for (Map.Entry<String, String> value : values.entrySet()) {
        text = text.replace(value.getKey(), value.getValue());
      }
      if (text.contains("{{")) {
        throw new IOException("the template has a placeholder that is not filled in: " + text);
      }
      Files.writeString(settings, text);
    }

    void start() throws IOException {
      String run = null;
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
      command.set(command.size() - 1, settings.toString());
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
      builder.environment().put("MARJORAMSAIL_CONFIG", settings.toString());
      Path log = temporary.resolve(name + ".log");
      String keep = System.getenv("KEEP_LOGS");
      if (keep != null) {
        log = Path.of(keep).resolve(name + ".log");
      }
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      synchronized (Stand.class) {
        DAEMONS.add(this);
      }
      note("daemon " + name + " started, process " + process.pid());
    }

    boolean isReady() {
      try (Client client = new Client(ready)) {
        client.send(Http.bytes("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n"));
        return client.answer(1_000).status() == 200;
      } catch (IOException down) {
        return false;
      }
    }

    /** Waits until the daemon says that it is ready; ends the case with 2 if it does not. */
    void awaitReady(long withinMillis) {
      long until = millis() + withinMillis;
      while (!isReady()) {
        if (millis() > until || !process.isAlive()) {
          note("daemon " + name + " is not ready");
          exit(2);
        }
        sleep(100);
      }
      note("daemon " + name + " is ready");
    }

    void signal(String signal) {
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
            .inheritIO()
            .start()
            .waitFor();
      } catch (IOException | InterruptedException failed) {
        throw new IllegalStateException(failed);
      }
    }

    /** Memory of the process that is resident now, in MB. */
    long residentMegabytes() {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith("VmRSS:")) {
            return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
          }
        }
      } catch (IOException ended) {
        return 0;
      }
      return 0;
    }
  }

  /** A route as in the configuration. */
  static Map<String, Object> route(
      String name, String prefix, String kind, String service, int attempts, long timeoutMillis) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", prefix);
    route.put("kind", kind);
    route.put("timeout_ms", timeoutMillis);
    route.put("target_latency_ms", kind.equals("streaming") ? 900 : 300);
    route.put("priority", 1);
    route.put("service", service);
    route.put("max_attempts", attempts);
    if (kind.equals("streaming")) {
      route.put("session_affinity", true);
      route.put("can_resume", attempts > 1);
      route.put("target_gap_ms", 300);
    }
    return route;
  }

  static Map<String, Object> plainService(String name) {
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", name);
    service.put("health_path", "/health");
    service.put("max_connections", 100);
    service.put("protocol", "h1");
    service.put("tls", false);
    return service;
  }

  static Map<String, Object> configuration(
      long version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("max_header_bytes", 16_384);
    limits.put("max_body_bytes", 4_194_304);
    limits.put("header_timeout_ms", 3_000);
    limits.put("idle_timeout_ms", 15_000);
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", version);
    configuration.put("routes", routes);
    configuration.put("services", services);
    configuration.put("limits", limits);
    return configuration;
  }
}
