package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.routing.Route;

/** A request whose head was accepted. */
record AcceptedRequest(
    HttpServerRequest request,
    CallerParameters parameters,
    Route route,
    Optional<OrganisationDefinition> organisation,
    long receivedAtMillis,
    BodyMemory.Account memory) {

  /** Returns the organisation of the caller, or the host if callers need no key. */
  String organisationName() {
    return organisation.map(OrganisationDefinition::name).orElse(route.host());
  }

  String attempt() {
    return parameters.attempt();
  }
}
