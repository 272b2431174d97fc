package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.routing.CallerAccess;
import org.marjoramsail.core.routing.CallerLimits;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RoutingConfiguration;

/** Decides from the head of a request, the routes and its key whether the request is admitted. */
final class RequestAdmission {

  /** What becomes of a request whose head was read. */
  sealed interface Decision permits Admitted, Refused, Unrouted {}

  /**
   * The body may be read.
   *
   * @param organisation organisation of the caller; empty for an anonymous caller
   */
  record Admitted(Route route, Optional<OrganisationDefinition> organisation, CallerLimits limits)
      implements Decision {}

  /** Refused whatever the routes are. */
  record Refused(Refusal refusal) implements Decision {}

  /** Refused by the routes in use, which have no such route or no such key. */
  record Unrouted(Refusal refusal) implements Decision {}

  /** Retry time of requests that came before the first configuration, in milliseconds. */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

  private final Supplier<Optional<RoutingConfiguration>> routing;
  private final BodyMemory bodyMemory;

  RequestAdmission(Supplier<Optional<RoutingConfiguration>> routing, BodyMemory bodyMemory) {
    this.routing = routing;
    this.bodyMemory = bodyMemory;
  }

  /** Decides on a request. */
  Decision decide(HttpServerRequest request, Optional<String> key) {
    Optional<RoutingConfiguration> current = routing.get();
    if (current.isEmpty()) {
      return new Refused(
          Refusal.notRun(
              RefusalReason.NO_CONFIGURATION,
              "This daemon has not yet heard of a configuration.",
              NO_CONFIGURATION_RETRY_MILLIS));
    }
    CallerLimits limits = current.get().limits();
    return headRefusal(request, limits)
        .<Decision>map(Refused::new)
        .orElseGet(() -> route(request, key, current.get()));
  }

  private Optional<Refusal> headRefusal(HttpServerRequest request, CallerLimits limits) {
    if (RequestTarget.toForward(request.uri()).isEmpty()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.MALFORMED_REQUEST,
              "The request target has bytes above 127 that are no UTF-8."));
    }
    int headBytes = RequestHead.bytes(request);
    if (headBytes > limits.headerBytes()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.HEADERS_TOO_LARGE,
              "The head has " + headBytes + " bytes; allowed: " + limits.headerBytes() + "."));
    }
    long maximum = bodyMemory.maximumBodyBytes(limits);
    long declared = RequestHead.declaredBodyBytes(request);
    return declared > maximum
        ? Optional.of(BodyMemory.tooLarge(declared, maximum))
        : Optional.empty();
  }

  private static Decision route(
      HttpServerRequest request, Optional<String> key, RoutingConfiguration current) {
    Optional<Route> route =
        current.routes().find(RequestHead.host(request), RequestTarget.pathOf(request));
    if (route.isEmpty()) {
      return new Unrouted(
          Refusal.notRun(
              RefusalReason.UNKNOWN_SERVICE,
              "No route of host '"
                  + RequestHead.host(request)
                  + "' begins the path "
                  + request.path()
                  + "."));
    }
    CallerAccess access = CallerAccess.of(current, route.get(), key);
    return access.refusal().isPresent()
        ? new Unrouted(access.refusal().get())
        : new Admitted(route.get(), access.organisation(), current.limits());
  }
}
