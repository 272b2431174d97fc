package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.standin.engine.EngineSettings;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.engine.EngineTimings;

final class OrphanCancellerTest {

  private static final UpstreamName NAME = new UpstreamName("decode-1");

  /** Slows the engine so that no attempt ends within the test. */
  private static final double STANDSTILL_FACTOR = 1e7;

  /** Exceeds the time that a call on a busy machine takes. */
  private static final int TIMEOUT_MILLIS = 20_000;

  private static final UpstreamLimits LIMITS =
      new UpstreamLimits(256, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 64 * 1024, 8 * 1024 * 1024);

  private final Vertx vertx = Vertx.vertx();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Clock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final EngineStandIn engine =
      new EngineStandIn(
          vertx,
          EngineSettings.of("decode-1", UpstreamRole.DECODE, "m", EngineTimings.defaults()),
          clock,
          new SplittableRandom(1));
  private final EngineClient engines =
      new EngineClient(
          new UpstreamHttp(vertx, LIMITS),
          new ObjectMapper().registerModule(new Jdk8Module()),
          meters);
  private UpstreamDefinition definition;
  private OrphanCanceller canceller;

  @BeforeEach
  void start() {
    int port = Waits.get(engine.start());
    engine.slowDown(STANDSTILL_FACTOR);
    definition =
        new UpstreamDefinition(
            NAME, "asistente", UpstreamRole.DECODE, "127.0.0.1", port, "a", "r", 20, true, false);
    canceller = new OrphanCanceller(engines, () -> List.of(definition), clock, meters);
  }

  @AfterEach
  void stop() {
    Waits.get(vertx.close());
  }

  private void generate(String daemon, long incarnation, String request) {
    DecodeRequest decodeRequest =
        new DecodeRequest(
            new RequestId(request),
            1,
            daemon,
            incarnation,
            "m",
            1,
            "a text",
            2,
            8,
            0,
            Optional.empty());
    engines.decode(
        UpstreamEndpoint.of(definition),
        decodeRequest,
        CallerPresence.ALWAYS,
        false,
        new DecodeListener() {
          @Override
          public void frame(DecodeFrame frame) {}

          @Override
          public void failed(UpstreamFailure failure) {}
        });
  }

  /** Ticks on an event loop, as a daemon does: a body is asked for in the turn of its head. */
  private void tick() {
    vertx.runOnContext(begins -> canceller.tick());
  }

  private double count(String name) {
    return meters.counter("marjoramsail.orphans." + name).count();
  }

  /**
   * Guards against engine slots that stay occupied after a host loses power with its connections
   * half open. Failed cancels are repeated; other daemons and later incarnations are not affected.
   */
  @Test
  void onlyTheAttemptsOfAFailedIncarnationAndEarlierOnesAreCancelledUntilTheEngineConfirms() {
    generate("entry-1", 6, "q1");
    generate("entry-1", 7, "q2");
    generate("entry-1", 8, "q3");
    generate("entry-2", 7, "q4");
    Waits.until("all are held", () -> engine.audit().held() == 4);
    engine.refuseCancels(true);
    canceller.daemonFailed(new DaemonId("entry-1", 7));
    tick();
    Waits.until("a cancel failed", () -> count("cancel.failures") > 0);
    assertThat(engine.audit().held()).isEqualTo(4);

    engine.refuseCancels(false);
    Waits.until(
        "a cancel is confirmed",
        () -> {
          tick();
          return count("cancelled") > 0;
        });

    assertThat(count("cancelled")).isEqualTo(2);
    assertThat(engine.audit().held()).isEqualTo(2);
  }
}
