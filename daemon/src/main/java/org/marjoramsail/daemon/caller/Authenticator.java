package org.marjoramsail.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.failure.RefusalReason;

/** Finds the organisation of a bearer token. */
final class Authenticator {

  private static final String SCHEME = "bearer ";

  private record Index(long revision, Map<String, OrganisationDefinition> byTokenHash) {}

  private volatile Index index = new Index(-1, Map.of());

  OrganisationDefinition organisation(Configuration configuration, Optional<String> authorization)
      throws RejectedRequestException {
    String value =
        authorization.orElseThrow(
            () -> rejected("The header authorization is missing; allowed: Bearer and a token."));
    if (!value.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
      throw rejected("The header authorization has another scheme; allowed: Bearer and a token.");
    }
    String hash = sha256(value.substring(SCHEME.length()).trim());
    OrganisationDefinition organisation = indexOf(configuration).byTokenHash().get(hash);
    if (organisation == null) {
      throw rejected("The bearer token is of no organisation.");
    }
    return organisation;
  }

  private Index indexOf(Configuration configuration) {
    Index current = index;
    if (current.revision() != configuration.revision()) {
      Map<String, OrganisationDefinition> byTokenHash = new HashMap<>();
      configuration
          .organisations()
          .forEach(
              organisation ->
                  organisation
                      .tokenHashes()
                      .forEach(
                          hash -> byTokenHash.put(hash.toLowerCase(Locale.ROOT), organisation)));
      current = new Index(configuration.revision(), Map.copyOf(byTokenHash));
      index = current;
    }
    return current;
  }

  private static RejectedRequestException rejected(String detail) {
    return new RejectedRequestException(RefusalReason.UNAUTHENTICATED, detail);
  }

  private static String sha256(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("Every Java platform has SHA-256.", missing);
    }
  }
}
