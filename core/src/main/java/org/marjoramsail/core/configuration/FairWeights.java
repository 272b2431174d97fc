package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Works out how a full pool is divided between organisations for which no weights are stated. */
public final class FairWeights {

  private FairWeights() {}

  /**
   * Gives each organisation a share as large as its rate beside the mean rate.
   *
   * <p>An organisation without a rate, and callers that belong to none, count like the mean. Were
   * the rates themselves the weights, such callers would get a hundred thousandth of the share of
   * any other, and hardly one of their requests would be served in a burst.
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
