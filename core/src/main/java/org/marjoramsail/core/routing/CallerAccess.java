package org.marjoramsail.core.routing;

import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * Whether a caller may use a route, and for which organisation.
 *
 * @param organisation whose caller it is; empty where callers need no key and it shows none
 * @param refusal why it may not
 */
public record CallerAccess(
    Optional<OrganisationDefinition> organisation, Optional<Refusal> refusal) {

  /**
   * Decides by the key that a caller shows. A key that no organisation holds is refused on every
   * route: its caller means to be known, and would be served as somebody else.
   */
  public static CallerAccess of(RoutingConfiguration routing, Route route, Optional<String> key) {
    if (!routing.isKeyed()) {
      return new CallerAccess(Optional.empty(), Optional.empty());
    }
    if (key.isEmpty()) {
      return route.anonymous()
          ? new CallerAccess(Optional.empty(), Optional.empty())
          : denied("The request has no key, which route '" + route.name() + "' needs.");
    }
    Optional<OrganisationDefinition> holder = routing.keys().holderOf(key.get());
    return holder.isPresent()
        ? new CallerAccess(holder, Optional.empty())
        : denied("The key of the request is of no organisation.");
  }

  private static CallerAccess denied(String detail) {
    return new CallerAccess(
        Optional.empty(), Optional.of(Refusal.notRun(RefusalReason.UNAUTHENTICATED, detail)));
  }
}
