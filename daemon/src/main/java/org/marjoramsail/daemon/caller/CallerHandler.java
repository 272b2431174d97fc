package org.marjoramsail.daemon.caller;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.daemon.request.CallerSink;
import org.marjoramsail.daemon.request.CompletionSender;
import org.marjoramsail.daemon.request.HttpCallerPresence;
import org.marjoramsail.daemon.request.LatencyTargets;
import org.marjoramsail.daemon.request.NewRequest;
import org.marjoramsail.daemon.request.RequestHandle;

/** Handles one HTTP request from its head to its registration. */
final class CallerHandler {

  private final Vertx vertx;
  private final CallerDependencies dependencies;
  private final CallerLimits limits;
  private final RequestIds ids;
  private final Authenticator authenticator = new Authenticator();
  private final BodyReader bodies;
  private final CompletionParser parser;
  private final RequestFactory factory;
  private final ProblemWriter problems;

  CallerHandler(Vertx vertx, CallerDependencies dependencies, CallerLimits limits, RequestIds ids) {
    this.vertx = vertx;
    this.dependencies = dependencies;
    this.limits = limits;
    this.ids = ids;
    this.bodies = new BodyReader(vertx, limits);
    this.parser = new CompletionParser(dependencies.json(), limits);
    this.factory = new RequestFactory(dependencies);
    this.problems = new ProblemWriter(dependencies.json());
  }

  /** Handles a request. */
  void handle(HttpServerRequest request) {
    RequestId id = ids.next();
    long receivedAtMillis = dependencies.clock().millis();
    request.response().putHeader("marjoramsail-request", id.value());
    request.response().exceptionHandler(ignored -> {});
    try {
      CallerRoute route = CallerRoute.of(request);
      Configuration configuration = newestConfiguration();
      RequestFactory.Arrival arrival =
          new RequestFactory.Arrival(
              id,
              receivedAtMillis,
              configuration,
              authenticator.organisation(
                  configuration, Optional.ofNullable(request.getHeader("authorization"))),
              CallerHeaders.of(request));
      bodies
          .read(request)
          .onSuccess(body -> withBody(request, route, arrival, body))
          .onFailure(cause -> bodyFailed(request, id, cause));
    } catch (RejectedRequestException rejected) {
      reject(request, id, rejected.refusal());
    }
  }

  /**
   * Refuses a request before its body is read.
   *
   * @param closeConnection whether the connection is closed afterwards
   */
  void refuse(HttpServerRequest request, Refusal refusal, boolean closeConnection) {
    RequestId id = ids.next();
    request.response().putHeader("marjoramsail-request", id.value());
    reject(request, id, refusal, closeConnection || !request.isEnded());
  }

  private Configuration newestConfiguration() throws RejectedRequestException {
    Configuration configuration = dependencies.configuration().get();
    if (configuration.revision() == 0) {
      throw new RejectedRequestException(
          RefusalReason.NO_CONFIGURATION, "This daemon has not yet heard of a configuration.");
    }
    return configuration;
  }

  private void withBody(
      HttpServerRequest request, CallerRoute route, RequestFactory.Arrival arrival, Buffer body) {
    try {
      if (route instanceof CallerRoute.Generation generation) {
        CompletionCall call = parser.parse(generation.format(), body);
        register(request, factory.generation(arrival, generation.format(), call), generation, call);
      } else if (route instanceof CallerRoute.Plain plain) {
        register(request, factory.plain(arrival, plain, request, body));
      }
    } catch (RejectedRequestException rejected) {
      reject(request, arrival.id(), rejected.refusal());
    }
  }

  private void register(
      HttpServerRequest request,
      RequestFactory.Prepared prepared,
      CallerRoute.Generation route,
      CompletionCall call) {
    RequestId id = prepared.profile().id();
    HttpServerResponse response = request.response();
    AtomicReference<RequestHandle> handle = new AtomicReference<>();
    CallerSink sink =
        call.streamed()
            ? new StreamSink(
                vertx,
                request.connection(),
                response,
                id,
                route.format(),
                call.service(),
                dependencies.json(),
                problems,
                limits,
                refusal -> handle.get().end(refusal))
            : new BufferedResponseSink(
                response, id, route.format(), call.service(), dependencies.json(), problems);
    handle.set(submit(request, prepared, sink));
  }

  private void register(HttpServerRequest request, RequestFactory.Prepared prepared) {
    CallerSink sink =
        new BufferedResponseSink(
            request.response(),
            prepared.profile().id(),
            CompletionFormat.COMPLETION,
            prepared.profile().service(),
            dependencies.json(),
            problems);
    submit(request, prepared, sink);
  }

  private RequestHandle submit(
      HttpServerRequest request, RequestFactory.Prepared prepared, CallerSink sink) {
    Context context = vertx.getOrCreateContext();
    CallerPresence caller = new HttpCallerPresence(request);
    RequestHandle handle =
        dependencies
            .registry()
            .register(
                new NewRequest(
                    prepared.profile(),
                    dependencies.policy(),
                    new CompletionSender(
                        prepared.profile(),
                        prepared.content(),
                        sink,
                        caller,
                        dependencies.upstreams()),
                    prepared.claim(),
                    prepared.rule().perTokenTargetMillis(),
                    new LatencyTargets(
                        prepared.profile().firstTokenAtMillis()
                            - prepared.profile().receivedAtMillis(),
                        LatencyTargets.NO_GAP_LIMIT),
                    sink,
                    caller,
                    task -> context.runOnContext(ignored -> task.run())));
    request.response().closeHandler(closed -> handle.callerDisconnected());
    return handle;
  }

  private void bodyFailed(HttpServerRequest request, RequestId id, Throwable cause) {
    if (cause instanceof RejectedRequestException rejected) {
      reject(request, id, rejected.refusal());
    }
  }

  /**
   * Marks the run state of a refusal as unknown if the request has an idempotency key and may be
   * retried later: an earlier request with this key may have run. Refusals that no retry can change
   * keep their run state, since no earlier request was accepted either.
   */
  private static Refusal adjustRunState(HttpServerRequest request, Refusal refusal) {
    boolean hasIdempotencyKey = request.headers().contains(CallerHeaders.IDEMPOTENCY_KEY);
    return hasIdempotencyKey && refusal.reason().isWorthRetrying()
        ? refusal.withUnknownRunState()
        : refusal;
  }

  private void reject(HttpServerRequest request, RequestId id, Refusal refusal) {
    reject(request, id, refusal, !request.isEnded());
  }

  /**
   * Refuses a request. The rest of its body stays unread, so that the connection cannot be reused.
   */
  private void reject(
      HttpServerRequest request, RequestId id, Refusal found, boolean closeConnection) {
    Refusal refusal = adjustRunState(request, found);
    dependencies.metrics().refused(refusal);
    HttpServerResponse response = request.response();
    if (closeConnection) {
      response.putHeader("connection", "close");
    }
    Future<Void> written = problems.write(response, id, refusal);
    if (closeConnection) {
      written.onComplete(done -> request.connection().close());
    }
  }
}
