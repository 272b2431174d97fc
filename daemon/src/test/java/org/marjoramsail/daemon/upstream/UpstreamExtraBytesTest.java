package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.standin.network.ExtraBytesStandIn;
import org.marjoramsail.standin.network.ExtraBytesStandIn.Extra;

/** Calls to an upstream that sends something behind a response, on a connection that is kept. */
@Timeout(60)
final class UpstreamExtraBytesTest {

  private static final String ADDRESS = "127.0.0.1";

  /** Exceeds the time that a call on a busy machine takes. */
  private static final int TIMEOUT_MILLIS = 20_000;

  private static final UpstreamLimits LIMITS =
      new UpstreamLimits(256, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 64 * 1024, 8 * 1024 * 1024);

  private final Vertx vertx = Vertx.vertx();
  private final UpstreamHttp http = new UpstreamHttp(vertx, LIMITS);

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against extra bytes of an engine that are read as a part of the next response. */
  @ParameterizedTest
  @EnumSource
  void theNextCallReceivesItsOwnResponseOrNone(Extra extra) {
    ExtraBytesStandIn server = new ExtraBytesStandIn(vertx, extra, "first", "extra", "second");
    int port = Waits.get(server.start(ADDRESS));
    UpstreamEndpoint endpoint = new UpstreamEndpoint(new UpstreamName("desk-1"), ADDRESS, port);

    String first = resultOf(endpoint);
    Waits.get(server.extraSent());
    String second = resultOf(endpoint);

    assertThat(first).isEqualTo("first");
    assertThat(second)
        .isIn(
            extra.isSuccess() ? UpstreamFailure.MALFORMED.name() : "second",
            UpstreamFailure.CUT.name(),
            UpstreamFailure.CONNECT_FAILED.name());
    if (second.equals(UpstreamFailure.CONNECT_FAILED.name())) {
      assertThat(server.requests()).as("requests of a call that was not sent").isEqualTo(1);
    }
  }

  /** Calls on an event loop, as a daemon does: the body is asked for in the turn of its head. */
  private String resultOf(UpstreamEndpoint endpoint) {
    Promise<String> result = Promise.promise();
    vertx.runOnContext(
        begins ->
            http.control(endpoint, HttpMethod.GET, "/status")
                .map(body -> body.toString(StandardCharsets.UTF_8))
                .otherwise(cause -> UpstreamCallException.failureOf(cause).name())
                .onComplete(result));
    return Waits.get(result.future());
  }
}
