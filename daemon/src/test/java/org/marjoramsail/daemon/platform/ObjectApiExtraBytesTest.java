package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.standin.network.ExtraBytesStandIn;
import org.marjoramsail.standin.network.ExtraBytesStandIn.Extra;

/** Calls to a platform that sends something behind a response, on a connection that is kept. */
@Timeout(60)
final class ObjectApiExtraBytesTest {

  private static final String ADDRESS = "127.0.0.1";

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against extra bytes of the API that are read as a part of the next response. */
  @ParameterizedTest
  @EnumSource
  void theNextCallReceivesItsOwnAnswerOrNone(Extra extra) {
    ExtraBytesStandIn server =
        new ExtraBytesStandIn(vertx, extra, object("first"), object("extra"), object("second"));
    int port = Waits.get(server.start(ADDRESS));
    try (HttpObjectApi api =
        new HttpObjectApi(
            vertx, HttpObjectApiSettings.defaults(ADDRESS, port), new SimpleMeterRegistry())) {

      String first = resultOf(api, "first");
      Waits.get(server.extraSent());
      String second = resultOf(api, "second");

      assertThat(first).isEqualTo("first");
      assertThat(second)
          .isIn(
              extra.isSuccess() ? Failure.NOT_FOUND.name() : "second", Failure.UNAVAILABLE.name());
    }
  }

  private static String resultOf(HttpObjectApi api, String name) {
    return Waits.get(
        api.get("leases", name)
            .map(StoredObject::name)
            .otherwise(cause -> ((ObjectApiException) cause).failure().name()));
  }

  private static String object(String name) {
    return "{\"metadata\":{\"name\":\"" + name + "\",\"resourceVersion\":\"1\"},\"spec\":{}}";
  }
}
