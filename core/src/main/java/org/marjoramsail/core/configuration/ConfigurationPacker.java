package org.marjoramsail.core.configuration;

import java.util.Optional;

/** Packs configurations for the way between daemons. */
public interface ConfigurationPacker {

  /** Packs a configuration into a text. */
  String pack(Configuration configuration);

  /** Unpacks a text; empty when it is not a packed configuration. */
  Optional<Configuration> unpack(String packed);
}
