package org.marjoramsail.core.configuration;

import java.util.List;

/**
 * A model and the version that its pools should run.
 *
 * @param name unique
 * @param version the version that engines should load
 * @param adapters adapters to load beside it
 * @param kvBytesPerToken bytes of KV cache for each token of a prompt
 */
public record ModelDefinition(
    String name, String version, List<String> adapters, long kvBytesPerToken)
    implements ConfigurationObject {

  /** Copies the list, so that the value cannot change. */
  public ModelDefinition {
    adapters = List.copyOf(adapters);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.MODEL, name);
  }
}
