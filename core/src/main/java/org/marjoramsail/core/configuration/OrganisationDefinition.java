package org.marjoramsail.core.configuration;

import java.util.List;

/**
 * An organisation whose callers may use services.
 *
 * @param name unique
 * @param tokenHashes SHA-256 of each bearer token of its callers, in hexadecimal
 * @param services the services that it may use; empty for all
 * @param weight its share of a full pool, relative to other organisations; more than zero
 * @param maximumConcurrency how many of its requests may run at once, over all daemons
 * @param requestsPerSecond how many requests it may start in a second, over all daemons
 * @param tokensPerSecond how many prompt and output tokens it may use in a second, over all daemons
 */
public record OrganisationDefinition(
    String name,
    List<String> tokenHashes,
    List<String> services,
    double weight,
    int maximumConcurrency,
    double requestsPerSecond,
    double tokensPerSecond)
    implements ConfigurationObject {

  /** Copies the lists, so that the value cannot change. */
  public OrganisationDefinition {
    tokenHashes = List.copyOf(tokenHashes);
    services = List.copyOf(services);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ORGANISATION, name);
  }
}
