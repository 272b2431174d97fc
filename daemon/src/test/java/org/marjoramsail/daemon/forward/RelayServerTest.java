package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;

/** Calls that a daemon relays for others. */
final class RelayServerTest {

  private static final int CALLS = 10;
  private static final String ADDRESS = "127.0.0.1";
  private static final String TOKEN = "token";
  private static final String CALL =
      "GET /status HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n"
          + Relay.TOKEN
          + ": "
          + TOKEN
          + "\r\n"
          + Relay.UPSTREAM
          + ": desk-1\r\n\r\n";

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against work for a call whose sender has given it up before the relay reads it. */
  @Test
  void aCallThatWasGivenUpBeforeItIsReadIsNotSent() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    RelayServer relay = relay(upstream.definition("desk"));
    int port = Waits.get(relay.start(ADDRESS, 0));

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(CALLS, port, CALL).leave().release();
      Waits.until("all are handled", () -> relay.dropped() + upstream.runs() >= CALLS);
    }

    assertThat(upstream.runs()).isZero();
    Waits.until("no call is relayed", () -> relay.running() == 0);
  }

  /** Guards against a sender that is taken for one that has given its call up. */
  @Test
  void aCallWhoseSenderWaitsIsSent() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    int port = Waits.get(relay(upstream.definition("desk")).start(ADDRESS, 0));

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      List<String> results = queue.add(1, port, CALL).release().results();

      assertThat(results).containsExactly("HTTP/1.1 200 OK");
    }
  }

  private RelayServer relay(UpstreamDefinition upstream) {
    return new RelayServer(
        vertx,
        TOKEN,
        protocol(),
        name -> Optional.of(upstream),
        new UpstreamConnections(
            vertx,
            new SystemClock(),
            new IgnoredResults(),
            ConnectFaults.NONE,
            target -> Optional.empty(),
            unused -> {}),
        new CallLog(
            new SystemClock(),
            () -> {},
            new IgnoredLiveness(),
            new ListAgeLog(() -> 0, new SimpleMeterRegistry())),
        () -> true);
  }

  private static ForwardingProtocol protocol() {
    CallerParameters parameters =
        new CallerParameters(
            "attempt-1",
            OptionalLong.empty(),
            0,
            0,
            OptionalInt.empty(),
            OptionalInt.empty(),
            Optional.empty(),
            List.of(),
            Optional.empty());
    return (ForwardingProtocol)
        Proxy.newProxyInstance(
            ForwardingProtocol.class.getClassLoader(),
            new Class<?>[] {ForwardingProtocol.class},
            (proxy, method, arguments) ->
                method.getName().equals("parametersOf") ? parameters : Optional.empty());
  }

  private static final class IgnoredLiveness implements LivenessListener {
    @Override
    public void responded(Incarnation upstream, long sentAtMillis) {}

    @Override
    public void reached(UpstreamName upstream, long startedAtMillis) {}

    @Override
    public void connectionRefused(UpstreamName upstream) {}

    @Override
    public boolean mayHaveCrashed(UpstreamName upstream) {
      return false;
    }
  }

  private static final class IgnoredResults implements ConnectListener {
    @Override
    public void connected(UpstreamDefinition target, long startedAtMillis) {}

    @Override
    public void failed(
        UpstreamDefinition target, long startedAtMillis, boolean refused, String cause) {}
  }
}
