package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

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
 * @param burst how many requests or tokens it may use at once beyond its rate; as many as its rate
 *     allows in a second where it is absent
 * @param tokensPerPlainRequest what a request without a prompt counts for where tokens are counted;
 *     nothing where it is absent
 */
public record OrganisationDefinition(
    String name,
    List<String> tokenHashes,
    List<String> services,
    double weight,
    int maximumConcurrency,
    double requestsPerSecond,
    double tokensPerSecond,
    Optional<Double> burst,
    Optional<Integer> tokensPerPlainRequest)
    implements ConfigurationObject {

  /** Copies the lists, so that the value cannot change. */
  public OrganisationDefinition {
    tokenHashes = List.copyOf(tokenHashes);
    services = List.copyOf(services);
  }

  /** An organisation whose bursts are as long as a second, and whose plain requests are free. */
  public OrganisationDefinition(
      String name,
      List<String> tokenHashes,
      List<String> services,
      double weight,
      int maximumConcurrency,
      double requestsPerSecond,
      double tokensPerSecond) {
    this(
        name,
        tokenHashes,
        services,
        weight,
        maximumConcurrency,
        requestsPerSecond,
        tokensPerSecond,
        Optional.empty(),
        Optional.empty());
  }

  /** The same with another share of a full pool. */
  OrganisationDefinition withWeight(double newWeight) {
    return new OrganisationDefinition(
        name,
        tokenHashes,
        services,
        newWeight,
        maximumConcurrency,
        requestsPerSecond,
        tokensPerSecond,
        burst,
        tokensPerPlainRequest);
  }

  /** What a request counts for against the limit in tokens. */
  public int countedTokens(int promptTokens, int outputTokens) {
    int requestTokens = promptTokens + outputTokens;
    return requestTokens > 0 ? requestTokens : tokensPerPlainRequest.orElse(0);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ORGANISATION, name);
  }
}
