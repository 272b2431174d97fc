package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.placement.OrganisationUsageMessage.Usage;

/** Tests the credit with which a daemon takes over a shard. */
class UsageHistoryTest {

  private static final ShardId SHARD = new ShardId("lector", "litoral", 0);
  private static final ShardId OTHER = new ShardId("lector", "litoral", 1);

  private final UsageHistory history = new UsageHistory(0);

  UsageHistoryTest() {
    history.configure(
        PlacementFixtures.pool(
            0, 2, 4, List.of(PlacementFixtures.limitedInTokens("rosario", 10_000, 10_000))));
  }

  /** Guards against refusals of an organisation below its limit after a change of owner. */
  @Test
  void theCreditThatAPredecessorLeftIsTakenOver() {
    history.receive(usage(0), 0);
    history.receive(usage(4_000), 10_000);

    Map<String, OrganisationCredit> credits = history.creditsFor(SHARD, 10_000);

    assertThat(credits.get("rosario").tokens()).isCloseTo(6_000, within(1.0));
  }

  @Test
  void nothingIsTakenOverFromAnOwnerThatSentNothingRecently() {
    history.receive(usage(0), 0);

    assertThat(history.creditsFor(SHARD, 5_001)).isEmpty();
    assertThat(history.creditsFor(OTHER, 0)).isEmpty();
  }

  private static OrganisationUsageMessage usage(long tokens) {
    return new OrganisationUsageMessage(SHARD, 7, List.of(new Usage("rosario", 0, 1, tokens, 0)));
  }
}
