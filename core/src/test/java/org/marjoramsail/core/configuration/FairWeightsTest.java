package org.marjoramsail.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FairWeightsTest {

  /**
   * Callers of a route that is open to all were refused in every burst, while callers with keys
   * were served: the rates of organisations stood as their weights beside the one of those without.
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
