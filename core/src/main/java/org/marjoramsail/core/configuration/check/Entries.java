package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.ObjectKey;
import org.marjoramsail.core.configuration.ObjectKind;

/** Keys of entries that several checks use. */
final class Entries {

  static final String ROUTE = "route";
  static final String SERVICE = ObjectKind.SERVICE.code();
  static final String ORGANISATION = ObjectKind.ORGANISATION.code();

  private Entries() {}

  static EntryKey of(ConfigurationObject object) {
    return of(object.key());
  }

  static EntryKey of(ObjectKey key) {
    return new EntryKey(key.kind().code(), key.name());
  }

  /** Returns a finding for each name that occurs more than once. */
  static List<Finding> duplicateNames(String kind, List<String> names, String effect) {
    Set<String> seen = new HashSet<>();
    Set<String> repeated = new TreeSet<>();
    for (String name : names) {
      if (!seen.add(name)) {
        repeated.add(name);
      }
    }
    List<Finding> findings = new ArrayList<>();
    for (String name : repeated) {
      EntryKey entry = new EntryKey(kind, name);
      String allowed = "a name that no other " + kind + " has; " + effect;
      findings.add(new Finding(FindingKind.DUPLICATE_NAME, entry, "name", name, allowed));
    }
    return findings;
  }
}
