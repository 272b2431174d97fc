package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;
import org.slf4j.LoggerFactory;

final class EngineClientTest {

  private final Vertx vertx = Vertx.vertx();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

  @AfterEach
  void stop() {
    Waits.get(vertx.close());
  }

  /**
   * Guards against a serialization fault of this daemon that fails all requests as if the engines
   * were unreachable, without an entry in the log or a count.
   */
  @Test
  void aRequestThatCannotBeSerializedIsNotSentAndIsLoggedOnceAndCounted() {
    Logger logger = (Logger) LoggerFactory.getLogger(EngineClient.class);
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);
    // This mapper does not support Optional, so it cannot serialize the request.
    EngineClient engines =
        new EngineClient(
            new UpstreamHttp(vertx, UpstreamLimits.defaults()), new ObjectMapper(), meters);
    List<UpstreamFailure> failures = new ArrayList<>();

    decode(engines, failures);
    decode(engines, failures);
    logger.detachAppender(lines);

    assertThat(failures)
        .containsExactly(UpstreamFailure.CONNECT_FAILED, UpstreamFailure.CONNECT_FAILED);
    assertThat(meters.counter("marjoramsail.upstream.orders.unwritable").count()).isEqualTo(2);
    assertThat(lines.list).hasSize(1);
    assertThat(lines.list.get(0).getKeyValuePairs().toString()).contains("decode-1");
  }

  private static void decode(EngineClient engines, List<UpstreamFailure> failures) {
    UpstreamEndpoint endpoint = new UpstreamEndpoint(new UpstreamName("decode-1"), "127.0.0.1", 1);
    DecodeRequest request =
        new DecodeRequest(
            new RequestId("q1"),
            1,
            "entry-1",
            1,
            "m",
            1,
            "text",
            1,
            1,
            0,
            Optional.of(new KvLocation("127.0.0.1", 1, "kv-1")));
    engines.decode(
        endpoint,
        request,
        CallerPresence.ALWAYS,
        false,
        new DecodeListener() {
          @Override
          public void frame(DecodeFrame frame) {
            throw new AssertionError("nothing was sent");
          }

          @Override
          public void failed(UpstreamFailure failure) {
            failures.add(failure);
          }
        });
  }
}
