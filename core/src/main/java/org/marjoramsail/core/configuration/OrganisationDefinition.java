package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Definition of an organisation whose callers may use services.
 *
 * @param name unique name of the organisation
 * @param tokenHashes SHA-256 of each bearer token of its callers, in hexadecimal
 * @param services the services that it may use; empty for all
 * @param weight its share of a full pool, relative to other organisations; more than zero
 * @param maximumConcurrency maximum number of its concurrent requests, over all daemons
 * @param requestsPerSecond maximum rate of its requests, over all daemons
 * @param tokensPerSecond maximum rate of its prompt and output tokens, over all daemons
 * @param burst number of requests or tokens that it may use at once beyond its rate; if empty, as
 *     many as its rate allows in a second
 * @param tokensPerPlainRequest number of tokens that a request without a prompt counts for; zero if
 *     empty
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

  /** Copies the lists to make the record immutable. */
  public OrganisationDefinition {
    tokenHashes = List.copyOf(tokenHashes);
    services = List.copyOf(services);
  }

  /** Creates an organisation with bursts of one second, whose plain requests count no tokens. */
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

  /** Returns a copy with this weight. */
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

  /** Returns the number of tokens that a request counts for against the rate limit. */
  public int countedTokens(int promptTokens, int outputTokens) {
    int requestTokens = promptTokens + outputTokens;
    return requestTokens > 0 ? requestTokens : tokensPerPlainRequest.orElse(0);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ORGANISATION, name);
  }
}
