package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.Repeatability;

class CallerAccessTest {

  private static final RoutingConfiguration KEYED =
      configuration(List.of(organisation("a", "k1", "k2"), organisation("b", "k3", "k2")));

  @Test
  void aKeyIdentifiesItsOrganisation() {
    assertThat(organisationOf(CallerAccess.of(KEYED, route(false), Optional.of("k1"))))
        .contains("a");
    assertThat(organisationOf(CallerAccess.of(KEYED, route(false), Optional.of("k3"))))
        .contains("b");
  }

  @Test
  void withoutAKeyOnlyAnonymousRoutesAreAllowed() {
    assertThat(reasonOf(CallerAccess.of(KEYED, route(false), Optional.empty())))
        .contains(RefusalReason.UNAUTHENTICATED);
    CallerAccess anonymous = CallerAccess.of(KEYED, route(true), Optional.empty());
    assertThat(anonymous.refusal()).isEmpty();
    assertThat(anonymous.organisation()).isEmpty();
  }

  @Test
  void anUnknownKeyIsRefusedOnEveryRoute() {
    for (String wrong : List.of("", " ", "k", "k11", "K1", "Bearer k1", "k1,k1", "k\u00e9")) {
      assertThat(reasonOf(CallerAccess.of(KEYED, route(false), Optional.of(wrong))))
          .contains(RefusalReason.UNAUTHENTICATED);
      assertThat(reasonOf(CallerAccess.of(KEYED, route(true), Optional.of(wrong))))
          .contains(RefusalReason.UNAUTHENTICATED);
    }
  }

  @Test
  void aKeyOfTwoOrganisationsBelongsToTheFirst() {
    assertThat(organisationOf(CallerAccess.of(KEYED, route(false), Optional.of("k2"))))
        .contains("a");
    assertThat(KEYED.keys().organisationsWithDuplicateKeys()).containsExactly("b");
  }

  @Test
  void aRefusalDoesNotContainTheKey() {
    Optional<Refusal> refusal =
        CallerAccess.of(KEYED, route(false), Optional.of("a-secret")).refusal();

    assertThat(refusal.orElseThrow().detail()).doesNotContain("a-secret");
  }

  @Test
  void withoutOrganisationsEveryCallerIsAllowed() {
    CallerAccess open = CallerAccess.of(configuration(List.of()), route(false), Optional.of("k9"));

    assertThat(open.refusal()).isEmpty();
    assertThat(open.organisation()).isEmpty();
  }

  private static Optional<String> organisationOf(CallerAccess access) {
    return access.organisation().map(OrganisationDefinition::name);
  }

  private static Optional<RefusalReason> reasonOf(CallerAccess access) {
    return access.refusal().map(Refusal::reason);
  }

  private static OrganisationDefinition organisation(String name, String... keys) {
    List<String> digests = List.of(keys).stream().map(OrganisationKeys::digestOf).toList();
    return new OrganisationDefinition(name, digests, List.of(), 1, 0, 0, 0);
  }

  private static RoutingConfiguration configuration(List<OrganisationDefinition> organisations) {
    return new RoutingConfiguration(
            1, new RouteTable(List.of()), List.of(), new CallerLimits(1, 1, 1, 1))
        .withOrganisations(organisations);
  }

  private static Route route(boolean anonymous) {
    return new Route(
        "r", "h", "/", Repeatability.IDEMPOTENT, false, 1, 1, 1, 1, 1, List.of(), anonymous);
  }
}
