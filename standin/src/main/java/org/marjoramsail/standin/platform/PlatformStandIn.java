package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.platform.PlatformSettings.OutageMode;
import org.marjoramsail.standin.platform.StoreException.Reason;

/**
 * Stands in for the platform in tests, demonstrations and measurements.
 *
 * <p>It serves the object API, the lagging host list and the rate-limited weight store over HTTP,
 * and can be told to fail in the ways that the real platform does.
 */
public final class PlatformStandIn {

  private static final String OBJECTS_PATH = "/apis/marjoramsail.org/v1/";
  private static final String HOSTS_PATH = "/hosts";
  private static final String WEIGHTS_PATH = "/weights/";
  private static final int MAXIMUM_CONNECTIONS_WAITING = 1_024;

  private final Vertx vertx;
  private final PlatformSettings settings;
  private final Faults faults = new Faults();
  private final CallCounters counters = new CallCounters();
  private final LaggingHostList hostList;
  private final ObjectApiHandler objects;
  private final WeightHandler weights;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
  private HttpServer server;
  private int port;

  /** Creates an instance with all that it needs; nothing runs before {@link #start()}. */
  public PlatformStandIn(
      Vertx vertx, PlatformSettings settings, Clock clock, RandomGenerator random) {
    this.vertx = vertx;
    this.settings = settings;
    this.port = settings.port();
    this.hostList = new LaggingHostList(clock, random, settings.hostListLag());
    this.objects = new ObjectApiHandler(vertx, settings, clock, faults, counters);
    this.weights = new WeightHandler(vertx, clock, settings.weights());
  }

  /** Starts to listen; gives the port. */
  public Future<Integer> start() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(settings.address())
            .setPort(port)
            .setAcceptBacklog(MAXIMUM_CONNECTIONS_WAITING);
    server =
        vertx
            .createHttpServer(options)
            .connectionHandler(this::remember)
            .requestHandler(this::handle);
    return server
        .listen()
        .map(
            listening -> {
              port = listening.actualPort();
              return port;
            });
  }

  /** Stops listening and cuts all connections; what is stored stays for another start. */
  public Future<Void> stop() {
    connections.forEach(HttpConnection::close);
    return server.close();
  }

  /**
   * Begins or ends an outage, in the way that the settings name.
   *
   * @return done when calls see it
   */
  public Future<Void> outage(boolean begins) {
    if (settings.outageMode() == OutageMode.REFUSES_CONNECTIONS) {
      return begins ? stop() : start().mapEmpty();
    }
    faults.setOutage(begins);
    objects.cutWatches();
    return Future.succeededFuture();
  }

  /** Makes each call wait before it takes effect, in milliseconds; zero for not at all. */
  public void slow(long millis) {
    faults.setDelayMillis(millis);
  }

  /** Lets the next writes take effect and cuts the connection instead of answering. */
  public void loseAnswerOfNextWrites(int writes) {
    faults.loseAnswers(writes);
  }

  /** The host list, to change the hosts that it shows. */
  public LaggingHostList hostList() {
    return hostList;
  }

  /** What was called how often. */
  public CallCounters counters() {
    return counters;
  }

  /** How many objects of a kind are stored; for reports and tests. */
  public int objectCount(String kind) {
    return objects.count(kind);
  }

  private void remember(HttpConnection connection) {
    connections.add(connection);
    connection.closeHandler(unused -> connections.remove(connection));
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> delayed(() -> serve(request, body)));
  }

  private void delayed(Runnable action) {
    long delayMillis = faults.delayMillis();
    if (delayMillis <= 0) {
      action.run();
      return;
    }
    vertx.setTimer(delayMillis, unused -> action.run());
  }

  private void serve(HttpServerRequest request, Buffer body) {
    if (request.response().closed()) {
      return;
    }
    if (faults.isOutage()) {
      refuseInOutage(request);
      return;
    }
    String path = request.path();
    if (path.startsWith(OBJECTS_PATH)) {
      objects.handle(request, path.substring(OBJECTS_PATH.length()), body);
    } else if (path.equals(HOSTS_PATH) && request.method().equals(HttpMethod.GET)) {
      sendHosts(request.response());
    } else if (path.startsWith(WEIGHTS_PATH) && request.method().equals(HttpMethod.GET)) {
      weights.handle(request.response());
    } else {
      JsonResponses.fail(
          request.response(), new StoreException(Reason.NOT_FOUND, "There is nothing at " + path));
    }
  }

  private void refuseInOutage(HttpServerRequest request) {
    if (settings.outageMode() == OutageMode.HANGS) {
      return;
    }
    JsonResponses.fail(
        request.response(), new StoreException(Reason.UNAVAILABLE, "The platform is down."));
  }

  private void sendHosts(HttpServerResponse response) {
    ObjectNode answer = mapper.createObjectNode();
    answer.set("hosts", mapper.valueToTree(hostList.visible()));
    answer.put("ageMillis", settings.hostListLag().lagMillis());
    JsonResponses.send(response, 200, answer);
  }
}
