package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;

/** Calls to an upstream whose response breaks off in its body, where another one continues it. */
@Timeout(60)
final class UpstreamJoinedBodyTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final String BODY = "own.".repeat(20);
  private static final String OTHER_BODY = "other".repeat(20);
  private static final String QUOTING_BODY = "the backend said HTTP/1.1 502 Bad Gateway";

  private final Vertx vertx = Vertx.vertx();
  private final UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
  private final PlainClient client = new PlainClient(http, new ObjectMapper());

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Returns the lengths of all parts of the body, without that of the whole. */
  static IntStream parts() {
    return IntStream.range(0, BODY.length());
  }

  /** Guards against a body that is made of two responses. */
  @ParameterizedTest
  @MethodSource("parts")
  void aBodyThatAnotherResponseContinuesIsCut(int length) {
    UpstreamEndpoint endpoint = upstream(joined(length));

    List<String> results =
        List.of(
            resultOfControl(endpoint),
            resultOfRequest(endpoint, false),
            resultOfRequest(endpoint, true));

    assertThat(results).containsOnly(UpstreamFailure.CUT.name());
  }

  /** Guards against the same for a body without a length, which another response continues. */
  @ParameterizedTest
  @MethodSource("parts")
  void aBodyWithoutALengthThatAnotherResponseContinuesIsCut(int length) {
    String joined =
        "HTTP/1.1 200 Said\r\n\r\n"
            + BODY.substring(0, length)
            + head(503, OTHER_BODY)
            + OTHER_BODY;

    List<String> results =
        List.of(
            resultOfControl(endpoint(endingWith(joined))),
            resultOfRequest(endpoint(endingWith(joined)), false),
            resultOfRequest(endpoint(endingWith(joined)), true));

    assertThat(results).containsOnly(UpstreamFailure.CUT.name());
  }

  /** Guards against the same for a chunk that the empty line of another head in chunks ends. */
  @Test
  void aChunkThatAnotherHeadEndsIsNotDelivered() {
    String head = "HTTP/1.1 503 Said\r\ntransfer-encoding: chunked\r\n";
    UpstreamEndpoint endpoint =
        upstream(
            "HTTP/1.1 200 Said\r\ntransfer-encoding: chunked\r\n\r\n50\r\n"
                + BODY.substring(head.length())
                + head
                + "\r\n3\r\noff\r\n0\r\n\r\n");

    List<String> results =
        List.of(
            resultOfControl(endpoint),
            resultOfRequest(endpoint, false),
            resultOfRequest(endpoint, true));

    assertThat(results).containsOnly(UpstreamFailure.CUT.name());
  }

  /** Guards against a body that ends with its connection and is taken for a joined one. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aBodyWithoutALengthIsDelivered(boolean newConnection) {
    UpstreamEndpoint endpoint = endpoint(endingWith("HTTP/1.1 200 Said\r\n\r\n" + BODY));

    assertThat(resultOfRequest(endpoint, newConnection)).isEqualTo(BODY);
  }

  /** Guards against a connection that is used again after such a body. */
  @Test
  void theConnectionOfSuchABodyIsClosed() {
    Promise<Void> closed = Promise.promise();
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.closeHandler(ended -> closed.tryComplete());
                  respondOnce(socket, joined(BODY.length() / 2));
                });
    UpstreamEndpoint endpoint = endpoint(server);

    assertThat(resultOfControl(endpoint)).isEqualTo(UpstreamFailure.CUT.name());
    Waits.get(closed.future());
  }

  /** Guards against proper responses that are taken for joined ones. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aWholeBodyIsDeliveredAlthoughAnotherResponseFollows(boolean newConnection) {
    assertThat(resultOfRequest(upstream(joined(BODY.length())), newConnection)).isEqualTo(BODY);
  }

  /** Guards against the same for a body that only quotes a status line. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aWholeBodyThatQuotesAStatusLineIsDelivered(boolean newConnection) {
    UpstreamEndpoint endpoint = upstream(head(200, QUOTING_BODY) + QUOTING_BODY);

    assertThat(resultOfRequest(endpoint, newConnection)).isEqualTo(QUOTING_BODY);
  }

  private static String joined(int length) {
    return head(200, BODY) + BODY.substring(0, length) + head(503, OTHER_BODY) + OTHER_BODY;
  }

  private static String head(int status, String body) {
    return "HTTP/1.1 " + status + " Said\r\ncontent-length: " + body.length() + "\r\n\r\n";
  }

  private UpstreamEndpoint upstream(String response) {
    return endpoint(
        vertx.createNetServer().connectHandler(socket -> respondOnce(socket, response)));
  }

  private NetServer endingWith(String response) {
    return vertx
        .createNetServer()
        .connectHandler(socket -> socket.handler(request -> socket.end(Buffer.buffer(response))));
  }

  /** Responds to the first bytes of a request, which may come in parts. */
  private static void respondOnce(NetSocket socket, String response) {
    socket.handler(
        request -> {
          socket.handler(rest -> {});
          Future<Void> unused = socket.write(response);
        });
  }

  private static UpstreamEndpoint endpoint(NetServer server) {
    int port = Waits.get(server.listen(0, ADDRESS)).actualPort();
    return new UpstreamEndpoint(new UpstreamName("desk-1"), ADDRESS, port);
  }

  private String resultOfControl(UpstreamEndpoint endpoint) {
    Promise<String> result = Promise.promise();
    vertx.runOnContext(
        begins ->
            http.control(endpoint, HttpMethod.GET, "/status")
                .map(body -> body.toString(StandardCharsets.UTF_8))
                .otherwise(cause -> UpstreamCallException.failureOf(cause).name())
                .onComplete(result));
    return Waits.get(result.future());
  }

  private String resultOfRequest(UpstreamEndpoint endpoint, boolean newConnection) {
    Promise<String> result = Promise.promise();
    vertx.runOnContext(begins -> send(endpoint, newConnection, result));
    return Waits.get(result.future());
  }

  /** Must run on an event loop: elsewhere a response may end before its body is requested. */
  private void send(UpstreamEndpoint endpoint, boolean newConnection, Promise<String> result) {
    UpstreamCall unused =
        client.send(
            endpoint,
            new PlainRequest(
                new RequestId("request-1"),
                1,
                "POST",
                "/status",
                MultiMap.caseInsensitiveMultiMap(),
                Buffer.buffer("content")),
            CallerPresence.ALWAYS,
            newConnection,
            response -> result.complete(response.body().toString(StandardCharsets.UTF_8)),
            failure -> result.complete(failure.name()));
  }
}
