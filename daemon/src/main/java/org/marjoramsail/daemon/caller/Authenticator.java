package org.marjoramsail.daemon.caller;

import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;
import org.marjoramsail.core.failure.RefusalReason;

/** Finds the organisation of a bearer token. */
final class Authenticator {

  private static final String SCHEME = "bearer ";

  private record Index(long revision, OrganisationKeys keys) {}

  private volatile Index index = new Index(-1, OrganisationKeys.NONE);

  OrganisationDefinition organisation(Configuration configuration, Optional<String> authorization)
      throws RejectedRequestException {
    String value =
        authorization.orElseThrow(
            () -> rejected("The header authorization is missing; allowed: Bearer and a token."));
    if (!value.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
      throw rejected("The header authorization has another scheme; allowed: Bearer and a token.");
    }
    return keysOf(configuration)
        .holderOf(value.substring(SCHEME.length()).trim())
        .orElseThrow(() -> rejected("The bearer token is of no organisation."));
  }

  private OrganisationKeys keysOf(Configuration configuration) {
    Index current = index;
    if (current.revision() != configuration.revision()) {
      current =
          new Index(configuration.revision(), new OrganisationKeys(configuration.organisations()));
      index = current;
    }
    return current.keys();
  }

  private static RejectedRequestException rejected(String detail) {
    return new RejectedRequestException(RefusalReason.UNAUTHENTICATED, detail);
  }
}
