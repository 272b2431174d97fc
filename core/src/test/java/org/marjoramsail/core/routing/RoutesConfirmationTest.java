package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RoutesConfirmationTest {

  private static final long VALID_MILLIS = 3_000;

  private final RoutesConfirmation confirmation = new RoutesConfirmation();

  /** Guards against routes of another daemon that count as the newest. */
  @Test
  void routesThatTheStoreHasNotConfirmedAreUnconfirmed() {
    assertThat(confirmation.isConfirmed(0)).isFalse();
    assertThat(confirmation.ageMillis(0)).isEmpty();
  }

  /** Guards against a store that has become silent, and old routes that count as the newest. */
  @Test
  void aConfirmationLapsesWithoutTheNextResponse() {
    confirmation.confirmed(100, VALID_MILLIS);

    assertThat(confirmation.isConfirmed(100 + VALID_MILLIS)).isTrue();
    assertThat(confirmation.isConfirmed(101 + VALID_MILLIS)).isFalse();
    assertThat(confirmation.ageMillis(200)).hasValue(100);
  }

  @Test
  void aConfirmationEndsWithAFailedRead() {
    confirmation.confirmed(100, VALID_MILLIS);
    confirmation.failed();
    assertThat(confirmation.isConfirmed(100)).isFalse();

    confirmation.confirmed(200, VALID_MILLIS);
    assertThat(confirmation.isConfirmed(200)).isTrue();
  }
}
