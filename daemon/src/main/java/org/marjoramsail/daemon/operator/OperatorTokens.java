package org.marjoramsail.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.AdministrationSettings;
import org.marjoramsail.daemon.settings.OperatorToken;

/** Knows whose token is whose, and how fast each may ask. Safe on any thread. */
final class OperatorTokens {

  private static final String SCHEME = "Bearer ";

  private final Map<OperatorToken, TokenRate> tokens = new LinkedHashMap<>();

  OperatorTokens(AdministrationSettings settings, Clock clock) {
    for (OperatorToken token : settings.tokens()) {
      tokens.put(token, new TokenRate(settings.requestsPerSecond(), clock));
    }
  }

  /** Who sends a request with this authorization header. */
  OperatorIdentity identify(Optional<String> authorization) throws AdministrationException {
    byte[] hash =
        digest(
            authorization
                .filter(header -> header.startsWith(SCHEME))
                .map(header -> header.substring(SCHEME.length()))
                .orElseThrow(() -> unauthenticated()));
    Optional<OperatorToken> found = Optional.empty();
    // All tokens are compared, each in constant time, so that the time of the answer tells nothing
    // about how much of a guessed token is right.
    for (OperatorToken token : tokens.keySet()) {
      if (MessageDigest.isEqual(hash, HexFormat.of().parseHex(token.sha256()))) {
        found = Optional.of(token);
      }
    }
    OperatorToken token = found.orElseThrow(() -> unauthenticated());
    if (!tokens.get(token).tryTake()) {
      throw new AdministrationException(
          AdministrationFailure.TOO_MANY_REQUESTS,
          "The token " + token.name() + " asks more often than its limit allows.");
    }
    return new OperatorIdentity(token.name(), token.role(), token.organisation());
  }

  private static AdministrationException unauthenticated() {
    return new AdministrationException(
        AdministrationFailure.UNAUTHENTICATED,
        "The header authorization is missing or unknown; allowed: Bearer and a token whose SHA-256"
            + " stands in the settings.");
  }

  private static byte[] digest(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("Each Java runtime has SHA-256.", impossible);
    }
  }

  /** A bucket that holds one second's worth of requests. */
  private static final class TokenRate {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final int perSecond;
    private final Clock clock;
    private double left;
    private long filledAtMillis;

    TokenRate(int perSecond, Clock clock) {
      this.perSecond = perSecond;
      this.clock = clock;
      this.left = perSecond;
      this.filledAtMillis = clock.millis();
    }

    synchronized boolean tryTake() {
      long now = clock.millis();
      double gained = (now - filledAtMillis) * perSecond / MILLIS_PER_SECOND;
      left = Math.min(perSecond, left + gained);
      filledAtMillis = now;
      if (left < 1) {
        return false;
      }
      left--;
      return true;
    }
  }
}
