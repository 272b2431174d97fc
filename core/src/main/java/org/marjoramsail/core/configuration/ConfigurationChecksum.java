package org.marjoramsail.core.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/** Checksum of a complete configuration; equal on all daemons of the same release. */
final class ConfigurationChecksum {

  private ConfigurationChecksum() {}

  static long of(Configuration configuration) {
    // The checksum covers the text of the records, since hash codes of enums differ between
    // processes. Renaming a record or a component of the configuration therefore changes it.
    return Hashing.xxh3_64().hashCharsToLong(configuration.toString());
  }
}
