package org.marjoramsail.core.configuration;

import java.util.Optional;

/**
 * A service that callers can ask for.
 *
 * @param name unique; callers name it in the path, or as the model of a completion
 * @param kind what stands behind it
 * @param model the model that its engines run; present when {@code kind} is {@code MODEL}
 */
public record ServiceDefinition(String name, ServiceKind kind, Optional<String> model)
    implements ConfigurationObject {

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.SERVICE, name);
  }
}
