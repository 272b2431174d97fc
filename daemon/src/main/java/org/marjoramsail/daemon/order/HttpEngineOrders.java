package org.marjoramsail.daemon.order;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineOrderKind;
import org.marjoramsail.core.order.EngineState;
import org.marjoramsail.core.order.OrderProgress;
import org.marjoramsail.daemon.connection.MalformedHeadCounts;
import org.marjoramsail.daemon.connection.RequestWatch;
import org.marjoramsail.daemon.upstream.AbortiveClose;

/**
 * Client of the engines' HTTP interface for orders.
 *
 * <p>Each call has a connection of its own: a response does not name its order, so that a repeated
 * response on a shared connection would be taken for the response to the next order.
 */
public final class HttpEngineOrders implements EngineOrders {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .serializationInclusion(JsonInclude.Include.NON_ABSENT)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  // Together with the connect timeout, less than the maximum time an order may be in flight.
  // See LeaseKeeper.MAXIMUM_IN_FLIGHT_MILLIS.
  private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpClient client;
  private final MalformedHeadCounts malformed = new MalformedHeadCounts();

  /** Creates an instance with an HTTP client of its own, which is closed with {@code vertx}. */
  public HttpEngineOrders(Vertx vertx) {
    HttpClientOptions options = AbortiveClose.options().setKeepAlive(false);
    this.client = RequestWatch.watchAll(vertx.httpClientBuilder().with(options), malformed).build();
  }

  /** Returns the number of responses whose head broke the grammar. */
  public MalformedHeadCounts malformedHeads() {
    return malformed;
  }

  private record OrderBody(
      String order,
      long token,
      String kind,
      Optional<String> model,
      Optional<String> version,
      Optional<String> adapter,
      Optional<String> role) {

    static OrderBody of(EngineOrder order, long token) {
      return new OrderBody(
          order.order(),
          token,
          order.kind().code(),
          order.model(),
          order.version(),
          order.adapter(),
          order.role().map(role -> role.name().toLowerCase(Locale.ROOT)));
    }
  }

  @Override
  public Future<Outcome> send(
      UpstreamDefinition upstream, EngineOrder order, long token, BooleanSupplier allowed) {
    return client
        .request(options(upstream, HttpMethod.POST, "/v1/orders"))
        .compose(
            request ->
                allowed.getAsBoolean()
                    ? sendNow(request, OrderBody.of(order, token))
                    : cancel(request));
  }

  @Override
  public Future<Reading> read(UpstreamDefinition upstream) {
    Future<JsonNode> status = getJson(upstream, "/v1/status");
    Future<JsonNode> orders = getJson(upstream, "/v1/orders");
    return Future.all(status, orders)
        .compose(unused -> parse(upstream, status.result(), orders.result()));
  }

  private static RequestOptions options(
      UpstreamDefinition upstream, HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(upstream.address())
        .setPort(upstream.port())
        .setURI(path)
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        .setIdleTimeout(RESPONSE_TIMEOUT_MILLIS);
  }

  private static Future<Outcome> sendNow(HttpClientRequest request, OrderBody body) {
    request.putHeader("content-type", "application/json");
    return request
        .send(Buffer.buffer(toBytes(body)))
        .map(
            response ->
                switch (response.statusCode()) {
                  case ACCEPTED, OK -> Outcome.TAKEN;
                  case CONFLICT -> Outcome.STALE_TOKEN;
                  default -> Outcome.REFUSED;
                });
  }

  private static Future<Outcome> cancel(HttpClientRequest request) {
    return request.reset().map(Outcome.NOT_SENT).otherwise(Outcome.NOT_SENT);
  }

  private static byte[] toBytes(OrderBody body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (IOException impossible) {
      throw new IllegalStateException("Cannot write as JSON: " + body, impossible);
    }
  }

  private Future<JsonNode> getJson(UpstreamDefinition upstream, String path) {
    return client
        .request(options(upstream, HttpMethod.GET, path))
        .compose(request -> request.send().compose(response -> bodyOf(upstream, path, response)));
  }

  private static Future<JsonNode> bodyOf(
      UpstreamDefinition upstream, String path, HttpClientResponse response) {
    if (response.statusCode() != OK) {
      String detail = path + " returned status " + response.statusCode() + "; allowed: " + OK;
      return Future.failedFuture(new EngineResponseException(upstream.name(), detail, null));
    }
    return response
        .body()
        .compose(
            body -> {
              try {
                return Future.succeededFuture(MAPPER.readTree(body.getBytes()));
              } catch (IOException malformed) {
                String detail = path + " returned invalid JSON";
                return Future.failedFuture(
                    new EngineResponseException(upstream.name(), detail, malformed));
              }
            });
  }

  private static Future<Reading> parse(
      UpstreamDefinition upstream, JsonNode status, JsonNode orders) {
    try {
      List<OrderProgress> progress = new ArrayList<>();
      for (JsonNode order : orders.path("orders")) {
        progress.add(progressOf(order));
      }
      List<String> adapters = new ArrayList<>();
      status.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
      EngineState state =
          new EngineState(
              upstream.name(),
              UpstreamRole.valueOf(constantName(status, "role")),
              status.path("model").asText(""),
              status.path("version").asText(""),
              adapters,
              status.path("running").asInt() + status.path("waiting").asInt(),
              status.path("leaving").asBoolean(),
              progress);
      return Future.succeededFuture(new Reading(state, status.path("ageMillis").asLong()));
    } catch (IllegalArgumentException unknownValue) {
      String detail = "unknown value in the response: " + unknownValue.getMessage();
      return Future.failedFuture(
          new EngineResponseException(upstream.name(), detail, unknownValue));
    }
  }

  private static OrderProgress progressOf(JsonNode order) {
    Optional<String> reason =
        order.hasNonNull("reason") ? Optional.of(order.get("reason").asText()) : Optional.empty();
    return new OrderProgress(
        order.path("order").asText(),
        EngineOrderKind.valueOf(constantName(order, "kind")),
        OrderProgress.State.valueOf(constantName(order, "state")),
        reason);
  }

  private static String constantName(JsonNode node, String field) {
    return node.path(field).asText().toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
