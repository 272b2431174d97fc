package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Derives the weights of organisations from their rate limits, for fair sharing of a full pool. */
public final class FairWeights {

  private FairWeights() {}

  /**
   * Returns the organisations with weights equal to their rate limit divided by the mean rate
   * limit.
   *
   * <p>An organisation without a rate limit gets the weight 1, as callers without an organisation
   * do. Using the rate limits themselves as weights would starve these callers, since such limits
   * are far larger than 1.
   */
  public static List<OrganisationDefinition> withWeightsByRate(
      List<OrganisationDefinition> organisations) {
    double meanTokens = mean(organisations, OrganisationDefinition::tokensPerSecond);
    double meanRequests = mean(organisations, OrganisationDefinition::requestsPerSecond);
    return organisations.stream()
        .map(
            organisation -> organisation.withWeight(weight(organisation, meanTokens, meanRequests)))
        .toList();
  }

  private static double weight(
      OrganisationDefinition organisation, double meanTokens, double meanRequests) {
    if (organisation.tokensPerSecond() > 0) {
      return organisation.tokensPerSecond() / meanTokens;
    }
    return organisation.requestsPerSecond() > 0
        ? organisation.requestsPerSecond() / meanRequests
        : 1;
  }

  private static double mean(
      List<OrganisationDefinition> organisations, ToDoubleFunction<OrganisationDefinition> rate) {
    return organisations.stream().mapToDouble(rate).filter(value -> value > 0).average().orElse(1);
  }
}
