package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;

final class StoreReturnsTest {

  private final ManualClock clock = new ManualClock(10_000);
  private final StoreReturns returns = new StoreReturns(clock);

  @Test
  void requestsAreCountedForThreeSecondsAfterEachReturn() {
    assertThat(returns.isRecent()).isFalse();

    returns.returned();
    clock.advance(StoreReturns.COUNTED_MILLIS - 1);
    assertThat(returns.isRecent()).isTrue();
    clock.advance(1);
    assertThat(returns.isRecent()).isFalse();

    returns.returned();
    assertThat(returns.isRecent()).isTrue();
    assertThat(returns.result().returns()).isEqualTo(2);
  }

  @Test
  void resultsAreToldApartByTheStatusOfACompleteResponse() {
    returns.ended(Optional.of(200));
    returns.ended(Optional.of(429));
    returns.ended(Optional.of(503));
    returns.ended(Optional.of(500));
    returns.ended(Optional.empty());

    assertThat(returns.result()).isEqualTo(new PlatformSoakReport.StoreReturn(0, 5, 2, 2));
  }
}
