package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;

/** Checks that each key identifies one organisation and that each organisation has a key. */
final class KeyCheck {

  private static final String FIELD = "tokenHashes";
  private static final String NO_KEY = "none";

  /** Digest of the key that stands for a request that states several keys. */
  private static final String EMPTY_DIGEST = OrganisationKeys.digestOf("");

  private KeyCheck() {}

  static List<Finding> findingsOf(
      List<OrganisationDefinition> organisations, OrganisationKeys keys) {
    List<Finding> findings = new ArrayList<>();
    for (OrganisationDefinition organisation : organisations) {
      EntryKey entry = Entries.of(organisation);
      if (organisation.tokenHashes().isEmpty()) {
        String allowed = "at least one key, without which no caller belongs to the organisation";
        findings.add(new Finding(FindingKind.AMBIGUOUS_KEY, entry, FIELD, NO_KEY, allowed));
      } else if (organisation.name().isBlank()) {
        String allowed = "the name of an organisation, without which its keys belong to none";
        findings.add(new Finding(FindingKind.AMBIGUOUS_KEY, entry, "name", "", allowed));
      }
      if (organisation.tokenHashes().contains(EMPTY_DIGEST)) {
        String allowed =
            "a key that is not empty; a request that states several keys counts as one with the"
                + " empty key";
        findings.add(new Finding(FindingKind.OPEN_KEY, entry, FIELD, "", allowed));
      }
    }
    for (Map.Entry<String, SortedSet<String>> duplicate :
        keys.holdersOfDuplicateKeys().entrySet()) {
      String allowed =
          "keys that no other organisation has; one of them is a key of "
              + String.join(", ", duplicate.getValue());
      findings.add(
          new Finding(
              FindingKind.AMBIGUOUS_KEY,
              new EntryKey(Entries.ORGANISATION, duplicate.getKey()),
              FIELD,
              "a key of " + String.join(", ", duplicate.getValue()),
              allowed));
    }
    return findings;
  }
}
