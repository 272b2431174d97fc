package org.marjoramsail.core.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/** A checksum of a whole configuration, the same on each daemon of a release. */
final class ConfigurationChecksum {

  private ConfigurationChecksum() {}

  static long of(Configuration configuration) {
    // The text of records is made of component names and values in their order; hash codes will not
    // do, since those of enums differ between processes.
    return Hashing.xxh3_64().hashCharsToLong(configuration.toString());
  }
}
