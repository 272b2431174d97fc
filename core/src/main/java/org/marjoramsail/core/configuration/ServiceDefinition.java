package org.marjoramsail.core.configuration;

import java.util.Optional;

/**
 * Definition of a service that callers can use.
 *
 * @param name unique name of the service; callers state it in the path, or as the model of a
 *     completion request
 * @param kind the kind of its upstreams
 * @param model the model that its engines run; present if {@code kind} is {@code MODEL}
 */
public record ServiceDefinition(String name, ServiceKind kind, Optional<String> model)
    implements ConfigurationObject {

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.SERVICE, name);
  }
}
