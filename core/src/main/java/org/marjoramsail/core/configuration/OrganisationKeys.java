package org.marjoramsail.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Finds the organisation that holds a caller's key.
 *
 * <p>Only digests are kept. A key is looked up by its digest, so that the time of a lookup tells
 * nothing of how much of a guessed key is right.
 */
public final class OrganisationKeys {

  /** Keys of no organisation. */
  public static final OrganisationKeys NONE = new OrganisationKeys(List.of());

  private final Map<String, OrganisationDefinition> byDigest = new HashMap<>();
  private final Collection<String> withDuplicateKeys = new TreeSet<>();

  /** Indexes the keys of organisations; of two that hold the same key the first holds it. */
  public OrganisationKeys(List<OrganisationDefinition> organisations) {
    for (OrganisationDefinition organisation : organisations) {
      for (String digest : organisation.tokenHashes()) {
        OrganisationDefinition first =
            byDigest.putIfAbsent(digest.toLowerCase(Locale.ROOT), organisation);
        if (first != null && !first.name().equals(organisation.name())) {
          withDuplicateKeys.add(organisation.name());
        }
      }
    }
  }

  /** The digest by which a key is stored. */
  public static String digestOf(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("Every Java platform has SHA-256.", missing);
    }
  }

  /** The organisation that holds a key. */
  public Optional<OrganisationDefinition> holderOf(String key) {
    return Optional.ofNullable(byDigest.get(digestOf(key)));
  }

  /** Names of organisations that state a key which another one before them holds. */
  public Collection<String> organisationsWithDuplicateKeys() {
    return List.copyOf(withDuplicateKeys);
  }
}
