package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses a request whose handling throws before the request is registered. The event loop would
 * only log the failure, and the caller would get neither a response nor a refusal.
 */
final class RequestGuard {

  /** Refuses a request that is not registered. */
  @FunctionalInterface
  interface Rejection {
    void reject(HttpServerRequest request, String attempt, Refusal refusal);
  }

  private static final Logger LOG = LoggerFactory.getLogger(RequestGuard.class);
  private static final Refusal INTERNAL_FAILURE =
      Refusal.notRun(RefusalReason.INTERNAL, "The request was not sent after an internal failure.");

  private final Rejection rejection;
  private final Counter failures;

  RequestGuard(Rejection rejection, MeterRegistry meters) {
    this.rejection = rejection;
    this.failures = meters.counter("marjoramsail.requests.failed.internally");
  }

  /** Runs a step of a request. */
  void run(HttpServerRequest request, String attempt, Runnable step) {
    Optional<Boolean> unused =
        call(
            request,
            attempt,
            () -> {
              step.run();
              return true;
            });
  }

  /** Returns the result of a step of a request; empty if it failed and the request is refused. */
  <T> Optional<T> call(HttpServerRequest request, String attempt, Supplier<T> step) {
    try {
      return Optional.of(step.get());
    } catch (RuntimeException | Error failure) {
      refuse(request, attempt, failure);
      return Optional.empty();
    }
  }

  /** Refuses a request before the failure is logged, since the log may fail for the same cause. */
  private void refuse(HttpServerRequest request, String attempt, Throwable failure) {
    if (!request.isEnded()) {
      request.handler(ignored -> {});
      request.endHandler(ignored -> {});
    }
    rejection.reject(request, attempt, INTERNAL_FAILURE);
    failures.increment();
    LOG.atError()
        .addKeyValue("attempt", attempt)
        .setCause(failure)
        .log("request failed internally");
  }
}
