package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.assembly.SystemClock;

/** Makes calls to upstreams, with a protocol of which all responses keep their connections. */
final class ForwardCalls {

  /** Bears the identifier of a request or a response. */
  static final String ATTEMPT_HEADER = "attempt";

  /** Identifier of requests and responses whose headers have none. */
  static final String ATTEMPT = "attempt-1";

  /** Age of the list of upstreams when a call is written. */
  static final long LIST_AGE_MILLIS = 2_500;

  private static final long KEEP_ALIVE_MILLIS = 60_000;

  private final Vertx vertx;
  private final MeterRegistry meters;

  ForwardCalls(Vertx vertx, MeterRegistry meters) {
    this.vertx = vertx;
    this.meters = meters;
  }

  /** Returns an upstream at a port of this host. */
  static UpstreamDefinition definition(int port) {
    return new UpstreamDefinition(
        new UpstreamName("desk-1"),
        "desk",
        UpstreamRole.PLAIN,
        "127.0.0.1",
        port,
        "zone-a",
        "region-a",
        1,
        false,
        false);
  }

  private static ForwardingProtocol protocol() {
    return (ForwardingProtocol)
        Proxy.newProxyInstance(
            ForwardingProtocol.class.getClassLoader(),
            new Class<?>[] {ForwardingProtocol.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "attemptOf" -> attemptOf((MultiMap) arguments[0]);
                  case "isProven" -> true;
                  default -> Optional.of(KEEP_ALIVE_MILLIS);
                });
  }

  private static String attemptOf(MultiMap headers) {
    String attempt = headers.get(ATTEMPT_HEADER);
    return attempt == null ? ATTEMPT : attempt;
  }

  /** Returns an empty pool. */
  UpstreamConnections connections() {
    return new UpstreamConnections(
        vertx,
        new SystemClock(),
        new IgnoredResults(),
        ConnectFaults.NONE,
        target -> Optional.empty(),
        unused -> {});
  }

  /** Returns a call with a short body that is not started. */
  ForwardCall call(
      UpstreamConnections connections,
      UpstreamDefinition upstream,
      Supplier<Optional<UpstreamFailure>> obstacle,
      ForwardCall.Listener listener) {
    return call(connections, upstream, Buffer.buffer("content"), obstacle, listener);
  }

  /** Returns a call that is not started. */
  ForwardCall call(
      UpstreamConnections connections,
      UpstreamDefinition upstream,
      Buffer body,
      Supplier<Optional<UpstreamFailure>> obstacle,
      ForwardCall.Listener listener) {
    return new ForwardCall(
        connections,
        new CallLog(
            new SystemClock(),
            () -> {},
            new IgnoredLiveness(),
            new ListAgeLog(() -> LIST_AGE_MILLIS, meters)),
        protocol(),
        upstream,
        request(body),
        obstacle,
        listener);
  }

  /** Returns headers without an identifier. */
  static MultiMap headers() {
    return MultiMap.caseInsensitiveMultiMap();
  }

  private static ForwardedRequest request(Buffer body) {
    return new ForwardedRequest(
        HttpMethod.POST,
        "/status",
        "desk.example",
        headers(),
        body,
        true,
        new CallerParameters(
            ATTEMPT,
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
  record EndListener(Promise<UpstreamFailure> ended) implements ForwardCall.Listener {

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
}
