package org.marjoramsail.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FairWeightsTest {

  /**
   * Guards against starving callers without an organisation, whose weight is 1: the weights of
   * organisations must not be their rate limits.
   */
  @Test
  void organisationsWithoutARateGetTheMeanWeight() {
    List<OrganisationDefinition> weighted =
        FairWeights.withWeightsByRate(
            List.of(
                limitedByTokens("large", 150_000),
                limitedByTokens("small", 50_000),
                limitedByTokens("none", 0)));

    assertThat(weighted).extracting(OrganisationDefinition::weight).containsExactly(1.5, 0.5, 1.0);
  }

  @Test
  void tokenRatesAndRequestRatesAreAveragedSeparately() {
    OrganisationDefinition limitedByRequests =
        new OrganisationDefinition("counted", List.of(), List.of(), 1, 0, 20, 0);

    assertThat(
            FairWeights.withWeightsByRate(
                List.of(limitedByRequests, limitedByTokens("large", 150_000))))
        .extracting(OrganisationDefinition::weight)
        .containsExactly(1.0, 1.0);
  }

  private static OrganisationDefinition limitedByTokens(String name, double perSecond) {
    return new OrganisationDefinition(
        name, List.of(), List.of(), 1, 0, 0, perSecond, Optional.empty(), Optional.empty());
  }
}
