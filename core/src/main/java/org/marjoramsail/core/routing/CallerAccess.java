package org.marjoramsail.core.routing;

import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * Result of authorising a caller for a route.
 *
 * @param organisation the organisation of the caller; empty for an anonymous caller
 * @param refusal the reason why the caller may not use the route; empty if it may
 */
public record CallerAccess(
    Optional<OrganisationDefinition> organisation, Optional<Refusal> refusal) {

  /**
   * Authorises a caller by its key. An unknown key is refused on anonymous routes too: the caller
   * expects to be served as its organisation and must not be served as an anonymous caller instead.
   */
  public static CallerAccess of(RoutingConfiguration routing, Route route, Optional<String> key) {
    if (!routing.isKeyed()) {
      return new CallerAccess(Optional.empty(), Optional.empty());
    }
    if (key.isEmpty()) {
      return route.anonymous()
          ? new CallerAccess(Optional.empty(), Optional.empty())
          : denied("The request has no key; route '" + route.name() + "' requires one.");
    }
    Optional<OrganisationDefinition> holder = routing.keys().holderOf(key.get());
    return holder.isPresent()
        ? new CallerAccess(holder, Optional.empty())
        : denied("The key of the request belongs to no organisation.");
  }

  private static CallerAccess denied(String detail) {
    return new CallerAccess(
        Optional.empty(), Optional.of(Refusal.notRun(RefusalReason.UNAUTHENTICATED, detail)));
  }
}
