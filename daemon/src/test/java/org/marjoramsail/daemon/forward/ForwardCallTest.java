package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;

/** What a call sends to its upstream, and when. */
final class ForwardCallTest {

  private static final long KEEP_ALIVE_MILLIS = 60_000;
  private static final long LIST_AGE_MILLIS = 2_500;

  private final Vertx vertx = Vertx.vertx();
  private final MeterRegistry meters = new SimpleMeterRegistry();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against work for a caller that leaves while a connection is opened for its request. */
  @Test
  void nothingIsSentIfTheCallerLeavesWhileTheConnectionIsOpened() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    AtomicReference<Optional<UpstreamFailure>> obstacle = new AtomicReference<>(Optional.empty());
    Promise<UpstreamFailure> failure = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall unused = call(upstream, obstacle::get, failure).start(headers());
          obstacle.set(Optional.of(UpstreamFailure.CALLER_LEFT));
        });

    assertThat(Waits.get(failure.future())).isEqualTo(UpstreamFailure.CALLER_LEFT);
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against late requests to leaving upstreams whose cause no metric shows. */
  @Test
  void theAgeOfTheListIsRecordedWhenARequestIsWritten() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    Promise<UpstreamFailure> ended = Promise.promise();

    vertx.runOnContext(
        started ->
            call(connections(), upstream, Optional::empty, new EndListener(ended))
                .start(headers()));

    Waits.get(ended.future());
    DistributionSummary ages = meters.get("marjoramsail.upstream.calls.list.age.millis").summary();
    assertThat(ages.count()).isEqualTo(1);
    assertThat(ages.max()).isEqualTo(LIST_AGE_MILLIS);
  }

  /** Guards against limits that are charged for a call that was given up before its write. */
  @Test
  void aCallIsUnsentUntilItIsWritten() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    Promise<Boolean> isUnsentWhileItConnects = Promise.promise();
    Promise<Boolean> isUnsentAfterItsResponse = Promise.promise();
    Promise<UpstreamFailure> ended = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall call =
              call(connections(), upstream, Optional::empty, new EndListener(ended))
                  .start(headers());
          isUnsentWhileItConnects.complete(call.isUnsent());
          ended.future().onSuccess(done -> isUnsentAfterItsResponse.complete(call.isUnsent()));
        });

    assertThat(Waits.get(isUnsentWhileItConnects.future())).isTrue();
    assertThat(Waits.get(isUnsentAfterItsResponse.future())).isFalse();
  }

  /** Guards against new work on an upstream that drains while a connection to it is opened. */
  @Test
  void nothingIsSentIfTheUpstreamDrainsWhileItsConnectionIsOpened() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    AtomicReference<Optional<UpstreamFailure>> obstacle = new AtomicReference<>(Optional.empty());
    Promise<UpstreamFailure> failure = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall unused = call(upstream, obstacle::get, failure).start(headers());
          obstacle.set(Optional.of(UpstreamFailure.NOT_ACCEPTING));
        });

    assertThat(Waits.get(failure.future())).isEqualTo(UpstreamFailure.NOT_ACCEPTING);
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against a connection that is cut under the next request which uses it. */
  @Test
  void aCallThatIsClosedAfterItsResponseLeavesItsConnectionToTheNextOne() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    UpstreamConnections connections = connections();
    Promise<UpstreamFailure> ended = Promise.promise();
    Promise<Boolean> isOpen = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall call =
              call(connections, upstream, Optional::empty, new EndListener(ended)).start(headers());
          ended
              .future()
              .compose(done -> connections.acquire(upstream.definition("desk")))
              .onSuccess(
                  next -> {
                    next.connection().closeHandler(closed -> isOpen.tryComplete(false));
                    call.close();
                    next.connection()
                        .request()
                        .compose(request -> request.send())
                        .onComplete(answered -> isOpen.tryComplete(answered.succeeded()));
                  });
        });

    assertThat(Waits.get(isOpen.future())).isTrue();
  }

  private ForwardCall call(
      FakePlainService upstream,
      Supplier<Optional<UpstreamFailure>> obstacle,
      Promise<UpstreamFailure> failure) {
    return call(connections(), upstream, obstacle, new FailureListener(failure));
  }

  private UpstreamConnections connections() {
    return new UpstreamConnections(
        vertx,
        new SystemClock(),
        new IgnoredResults(),
        ConnectFaults.NONE,
        target -> Optional.empty(),
        unused -> {});
  }

  private ForwardCall call(
      UpstreamConnections connections,
      FakePlainService upstream,
      Supplier<Optional<UpstreamFailure>> obstacle,
      ForwardCall.Listener listener) {
    return new ForwardCall(
        connections,
        new CallLog(
            new SystemClock(),
            () -> {},
            new IgnoredLiveness(),
            new ListAgeLog(() -> LIST_AGE_MILLIS, meters)),
        responseHeaders -> Optional.of(KEEP_ALIVE_MILLIS),
        upstream.definition("desk"),
        request(),
        obstacle,
        listener);
  }

  private static MultiMap headers() {
    return MultiMap.caseInsensitiveMultiMap();
  }

  private static ForwardedRequest request() {
    return new ForwardedRequest(
        HttpMethod.POST,
        "/status",
        "desk.example",
        headers(),
        Buffer.buffer("content"),
        true,
        new CallerParameters(
            "attempt-1",
            OptionalLong.empty(),
            0,
            0,
            OptionalInt.empty(),
            OptionalInt.empty(),
            Optional.empty(),
            List.of(),
            Optional.empty()),
        Optional.empty());
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

  /** Completes with the end of a response. */
  private record EndListener(Promise<UpstreamFailure> ended) implements ForwardCall.Listener {

    @Override
    public boolean head(int status, MultiMap headers) {
      return true;
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      return Optional.empty();
    }

    @Override
    public void end() {
      ended.tryComplete();
    }

    @Override
    public void failed(UpstreamFailure reason) {
      ended.tryFail(reason.name());
    }
  }

  /** Completes with the failure of a call; a response counts as a malformed one. */
  private record FailureListener(Promise<UpstreamFailure> failure) implements ForwardCall.Listener {

    @Override
    public boolean head(int status, MultiMap headers) {
      failed(UpstreamFailure.MALFORMED);
      return false;
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      return Optional.empty();
    }

    @Override
    public void end() {}

    @Override
    public void failed(UpstreamFailure reason) {
      failure.tryComplete(reason);
    }
  }
}
