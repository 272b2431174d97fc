package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.standin.network.MalformedHeadStandIn;
import org.marjoramsail.standin.network.MalformedHeadStandIn.Fault;

/** Guards against plain services whose responses have a malformed head and are delivered. */
@Timeout(60)
final class UpstreamMalformedHeadTest {

  private static final String ADDRESS = "127.0.0.1";

  private final Vertx vertx = Vertx.vertx();
  private final PlainClient client =
      new PlainClient(new UpstreamHttp(vertx, UpstreamLimits.defaults()), new ObjectMapper());

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  static Stream<Arguments> faultsOnBothKindsOfConnections() {
    return Arrays.stream(Fault.values())
        .flatMap(fault -> Stream.of(Arguments.of(fault, true), Arguments.of(fault, false)));
  }

  @ParameterizedTest
  @MethodSource("faultsOnBothKindsOfConnections")
  void aMalformedResponseIsNotDelivered(Fault fault, boolean newConnection) {
    MalformedHeadStandIn server = new MalformedHeadStandIn(vertx, fault, 200, "answer");
    int port = Waits.get(server.start(ADDRESS));
    UpstreamEndpoint endpoint = new UpstreamEndpoint(new UpstreamName("desk-1"), ADDRESS, port);
    Promise<String> result = Promise.promise();

    vertx.runOnContext(begins -> send(endpoint, newConnection, result));

    assertThat(Waits.get(result.future())).isEqualTo(UpstreamFailure.CUT.name());
    assertThat(server.requests()).isEqualTo(1);
  }

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
