package org.marjoramsail.core.configuration;

import java.util.List;

/**
 * Definition of a model and of the version that its pools should run.
 *
 * @param name unique name of the model
 * @param version the version that engines should load
 * @param adapters the adapters that engines should load in addition
 * @param kvBytesPerToken bytes of KV cache per prompt token
 */
public record ModelDefinition(
    String name, String version, List<String> adapters, long kvBytesPerToken)
    implements ConfigurationObject {

  /** Copies the list to make the record immutable. */
  public ModelDefinition {
    adapters = List.copyOf(adapters);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.MODEL, name);
  }
}
