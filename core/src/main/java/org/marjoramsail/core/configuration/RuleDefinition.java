package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Says how requests of one kind are served.
 *
 * @param name unique
 * @param service the service whose requests it may match
 * @param method the HTTP method that it matches; any when absent
 * @param pathPrefix the path prefix below the service that it matches; any when absent
 * @param serviceClass how urgent they are
 * @param repeatability whether they may run more than once
 * @param firstTokenTargetMillis target for the first token or the whole plain answer
 * @param perTokenTargetMillis target between tokens
 * @param deadlineMillis when a request must be answered, after its arrival
 * @param storeOutagePolicy what to do while a claim cannot be recorded
 */
public record RuleDefinition(
    String name,
    String service,
    Optional<String> method,
    Optional<String> pathPrefix,
    ServiceClass serviceClass,
    Repeatability repeatability,
    long firstTokenTargetMillis,
    long perTokenTargetMillis,
    long deadlineMillis,
    StoreOutagePolicy storeOutagePolicy)
    implements ConfigurationObject {

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.RULE, name);
  }
}
