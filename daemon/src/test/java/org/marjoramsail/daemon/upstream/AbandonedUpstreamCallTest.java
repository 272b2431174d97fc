package org.marjoramsail.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.standin.network.LinkStandIn;

/** What upstreams of the own interface receive of calls that were given up. */
final class AbandonedUpstreamCallTest {

  private static final String ADDRESS = "127.0.0.1";

  private final Vertx vertx = Vertx.vertx();
  private final PlainClient client =
      new PlainClient(new UpstreamHttp(vertx, UpstreamLimits.defaults()), new ObjectMapper());

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a request that reaches an upstream after its call was given up. */
  @Test
  void aCallThatWasGivenUpDoesNotArriveWhenItsPathIsRestored() {
    FakePlainService service = new FakePlainService(vertx, "desk-1").start();
    LinkStandIn link = new LinkStandIn(vertx, new SystemClock(), heldMillis -> 0);
    int port = Waits.get(link.start(ADDRESS, service.definition("desk").port()));
    UpstreamEndpoint endpoint =
        new UpstreamEndpoint(service.definition("desk").name(), ADDRESS, port);
    Waits.get(send(endpoint, 1));

    link.cut();
    Promise<PlainResponse> unanswered = Promise.promise();
    UpstreamCall call = start(endpoint, 2, unanswered);
    Waits.until("the request is on its way", () -> link.heldBytes() > 0);
    call.close();
    Waits.until("the call is closed", () -> link.closedByCallers() > 0);
    link.restore();

    Waits.get(send(endpoint, 3));
    assertThat(service.runs()).isEqualTo(2);
  }

  private Future<PlainResponse> send(UpstreamEndpoint endpoint, int number) {
    Promise<PlainResponse> response = Promise.promise();
    UpstreamCall unused = start(endpoint, number, response);
    return response.future();
  }

  /** Sends on an event loop, as a daemon does: a body is asked for in the turn of its head. */
  private UpstreamCall start(
      UpstreamEndpoint endpoint, int number, Promise<PlainResponse> response) {
    PlainRequest request =
        new PlainRequest(
            new RequestId("request-" + number),
            1,
            "POST",
            "/status",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer("content"));
    Promise<UpstreamCall> started = Promise.promise();
    vertx.runOnContext(
        begins ->
            started.complete(
                client.send(
                    endpoint,
                    request,
                    CallerPresence.ALWAYS,
                    false,
                    response::complete,
                    failure -> response.fail(failure.name()))));
    return Waits.get(started.future());
  }
}
