package org.marjoramsail.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Index of organisations by the keys of their callers.
 *
 * <p>Only digests are stored. Keys are looked up by digest, so that the duration of a lookup does
 * not reveal how much of a guessed key is correct.
 */
public final class OrganisationKeys {

  /** An index without keys. */
  public static final OrganisationKeys NONE = new OrganisationKeys(List.of());

  private final Map<String, OrganisationDefinition> byDigest = new HashMap<>();
  private final SortedMap<String, SortedSet<String>> holdersOfDuplicates = new TreeMap<>();

  /** Indexes the keys of organisations; a key of two organisations belongs to the first. */
  public OrganisationKeys(List<OrganisationDefinition> organisations) {
    for (OrganisationDefinition organisation : organisations) {
      for (String digest : organisation.tokenHashes()) {
        OrganisationDefinition first =
            byDigest.putIfAbsent(digest.toLowerCase(Locale.ROOT), organisation);
        if (first != null && !first.name().equals(organisation.name())) {
          holdersOfDuplicates
              .computeIfAbsent(organisation.name(), name -> new TreeSet<>())
              .add(first.name());
        }
      }
    }
  }

  /** Returns the digest by which a key is stored. */
  public static String digestOf(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("SHA-256 is not available.", missing);
    }
  }

  /** Returns the organisation that a key belongs to, if any. */
  public Optional<OrganisationDefinition> holderOf(String key) {
    return Optional.ofNullable(byDigest.get(digestOf(key)));
  }

  /** Returns the names of organisations with a key that belongs to a preceding organisation. */
  public Collection<String> organisationsWithDuplicateKeys() {
    return List.copyOf(holdersOfDuplicates.keySet());
  }

  /**
   * Returns the names of organisations with a key that belongs to a preceding organisation, each
   * with the names of the organisations that hold its keys.
   */
  public SortedMap<String, SortedSet<String>> holdersOfDuplicateKeys() {
    return Collections.unmodifiableSortedMap(holdersOfDuplicates);
  }
}
