package org.marjoramsail.core.configuration;

import java.util.Optional;

/** Serialises configurations for transfer between daemons. */
public interface ConfigurationPacker {

  /** Serialises a configuration to a string. */
  String pack(Configuration configuration);

  /** Deserialises a string; returns empty if it is not a serialised configuration. */
  Optional<Configuration> unpack(String packed);
}
