package org.marjoramsail.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.PlainClient;
import org.marjoramsail.daemon.upstream.PlainResponse;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;
import org.marjoramsail.daemon.upstream.UpstreamHttp;
import org.marjoramsail.daemon.upstream.UpstreamLimits;

/** The responses of two attempts of one request. */
final class CompletionSenderTest {

  private final Vertx vertx = Vertx.vertx();
  private final RecordingSink sink = new RecordingSink();
  private final List<UpstreamDefinition> upstreams =
      List.of(
          new FakePlainService(vertx, "desk-1").start().definition("desk"),
          new FakePlainService(vertx, "desk-2").start().definition("desk"));
  private final CompletionSender sender = sender();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a caller that gets no response since another attempt responded as well. */
  @Test
  void theResponseOfAnAttemptIsDeliveredThoughAnotherRespondedAfterIt() {
    respond(1);
    respond(2);

    sender.deliver(1);

    assertThat(sink.services).containsExactly("desk-1");
  }

  /** Sends on an event loop, as a daemon does: a body is asked for in the turn of its head. */
  private void respond(int attempt) {
    Promise<LifecycleEvent> event = Promise.promise();
    vertx.runOnContext(
        begins -> {
          Optional<OpenCall> unused =
              sender.sendPlain(
                  new LifecycleAction.SendPlain(attempt, upstreams.get(attempt - 1).name()),
                  event::complete);
        });
    assertThat(Waits.get(event.future()))
        .isEqualTo(new LifecycleEvent.PlainResponseReceived(attempt));
  }

  private CompletionSender sender() {
    Configuration configuration =
        new Configuration(1, List.of(), List.of(), upstreams, List.of(), List.of());
    UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
    ObjectMapper json = new ObjectMapper();
    RequestProfile profile =
        new RequestProfile(
            new RequestId("q1"),
            new DaemonId("entry-1", 1),
            "desk",
            "council",
            "status",
            ServiceClass.STANDARD,
            Repeatability.IDEMPOTENT,
            false,
            false,
            0,
            0,
            List.of(),
            7,
            0,
            900,
            10_000);
    return new CompletionSender(
        profile,
        new RequestContent.Plain(
            "POST", "/status", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("content")),
        sink,
        CallerPresence.ALWAYS,
        new UpstreamClients(
            new EngineClient(http, json, new SimpleMeterRegistry()),
            new PlainClient(http, json),
            new UpstreamDirectory(() -> configuration),
            unused -> {}));
  }

  private static final class RecordingSink implements CallerSink {
    private final List<String> services = new ArrayList<>();

    @Override
    public void token(int attempt, int index, String text) {}

    @Override
    public void complete(Completion completion) {}

    @Override
    public void respond(PlainResponse response) {
      services.add(response.headers().get("x-service"));
    }

    @Override
    public void refuse(Refusal refusal) {}
  }
}
