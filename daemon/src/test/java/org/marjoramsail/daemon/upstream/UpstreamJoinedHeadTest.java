package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.standin.network.JoinedHeadStandIn;
import org.marjoramsail.standin.network.JoinedHeadStandIn.Break;

/** Calls to an upstream whose response breaks off, where another one continues it. */
@Timeout(60)
final class UpstreamJoinedHeadTest {

  private static final String ADDRESS = "127.0.0.1";

  private final Vertx vertx = Vertx.vertx();
  private final UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
  private final PlainClient client = new PlainClient(http, new ObjectMapper());

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /**
   * Guards against a success that is made of the status of one response and the body of another.
   */
  @ParameterizedTest
  @EnumSource
  void aResponseThatAnotherOneContinuesIsCut(Break place) {
    JoinedHeadStandIn server = new JoinedHeadStandIn(vertx, place, 200, 503, "other");
    int port = Waits.get(server.start(ADDRESS));
    UpstreamEndpoint endpoint = new UpstreamEndpoint(new UpstreamName("desk-1"), ADDRESS, port);

    Promise<String> result = Promise.promise();
    vertx.runOnContext(
        begins ->
            http.control(endpoint, HttpMethod.GET, "/status")
                .map(body -> body.toString(StandardCharsets.UTF_8))
                .otherwise(cause -> UpstreamCallException.failureOf(cause).name())
                .onComplete(result));

    assertThat(Waits.get(result.future())).isEqualTo(UpstreamFailure.CUT.name());
  }

  /** Guards against the same for requests that may run only once, which use new connections. */
  @ParameterizedTest
  @EnumSource
  void aResponseOnANewConnectionThatAnotherOneContinuesIsCut(Break place) {
    JoinedHeadStandIn server = new JoinedHeadStandIn(vertx, place, 200, 503, "other");
    int port = Waits.get(server.start(ADDRESS));
    UpstreamEndpoint endpoint = new UpstreamEndpoint(new UpstreamName("desk-1"), ADDRESS, port);
    Promise<String> result = Promise.promise();

    vertx.runOnContext(begins -> send(endpoint, result));

    assertThat(Waits.get(result.future())).isEqualTo(UpstreamFailure.CUT.name());
  }

  /** Must run on an event loop: elsewhere a response may end before its body is requested. */
  private void send(UpstreamEndpoint endpoint, Promise<String> result) {
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
            true,
            response -> result.complete(response.body().toString(StandardCharsets.UTF_8)),
            failure -> result.complete(failure.name()));
  }
}
