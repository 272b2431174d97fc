package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Rule that defines how matching requests of a service are served.
 *
 * @param name unique name of the rule
 * @param service the service whose requests the rule may match
 * @param method the HTTP method that it matches; any if empty
 * @param pathPrefix the path prefix below the service that it matches; any if empty
 * @param serviceClass urgency of the requests
 * @param repeatability whether the requests may run more than once
 * @param firstTokenTargetMillis latency target for the first token or the complete plain response
 * @param perTokenTargetMillis latency target between tokens
 * @param deadlineMillis deadline for the response, counted from the arrival of the request
 * @param storeOutagePolicy behaviour while claims cannot be recorded in the store
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
