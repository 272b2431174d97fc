package org.marjoramsail.language;

import java.util.List;

/** Knows the names that there are. */
@FunctionalInterface
public interface NameSource {

  /** The names of a kind; empty where they are not known. */
  List<String> namesOf(NameKind kind);
}
