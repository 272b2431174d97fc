package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.standin.network.JoinedHeadStandIn;
import org.marjoramsail.standin.network.JoinedHeadStandIn.Break;

/** Calls to a platform whose response breaks off, where another one continues it. */
@Timeout(60)
final class ObjectApiJoinedHeadTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final String OBJECT =
      "{\"metadata\":{\"name\":\"first\",\"resourceVersion\":\"1\"},\"spec\":{}}";

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a refused write that counts as done. */
  @ParameterizedTest
  @EnumSource
  void aSuccessThatARefusalContinuesIsUncertain(Break place) {
    assertThat(resultOfWrite(new JoinedHeadStandIn(vertx, place, 200, 409, OBJECT)))
        .isEqualTo(Failure.UNCERTAIN.name());
  }

  /** Guards against a write that was done and counts as refused. */
  @ParameterizedTest
  @EnumSource
  void aRefusalThatASuccessContinuesIsUncertain(Break place) {
    assertThat(resultOfWrite(new JoinedHeadStandIn(vertx, place, 409, 200, OBJECT)))
        .isEqualTo(Failure.UNCERTAIN.name());
  }

  private String resultOfWrite(JoinedHeadStandIn server) {
    int port = Waits.get(server.start(ADDRESS));
    try (HttpObjectApi api =
        new HttpObjectApi(
            vertx, HttpObjectApiSettings.defaults(ADDRESS, port), new SimpleMeterRegistry())) {
      StoredObject object =
          new StoredObject("leases", "first", "1", JsonNodeFactory.instance.objectNode());
      return Waits.get(
          api.replace(object)
              .map(StoredObject::name)
              .otherwise(cause -> ((ObjectApiException) cause).failure().name()));
    }
  }
}
