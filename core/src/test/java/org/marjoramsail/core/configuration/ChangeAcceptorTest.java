package org.marjoramsail.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.configuration.SampleConfiguration.change;
import static org.marjoramsail.core.configuration.SampleConfiguration.configuration;
import static org.marjoramsail.core.configuration.SampleConfiguration.put;
import static org.marjoramsail.core.configuration.SampleConfiguration.rule;
import static org.marjoramsail.core.configuration.SampleConfiguration.upstream;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ChangeAcceptorTest {

  private static final long NOW = 1_000;

  private static ConfigurationRoot after(ConfigurationRoot root, ConfigurationChange change) {
    AcceptanceStep step =
        ChangeAcceptor.decide(change, root, root.configuration().revision(), 0, NOW);
    return ((AcceptanceStep.Write) step).next();
  }

  private static ConfigurationChange basedOn(long revision, ConfigurationChange change) {
    return new ConfigurationChange(
        change.order(), "bea", "another", Optional.of(revision), change.operations());
  }

  @Test
  void aSecondChangeOfTheSameObjectIsRefusedAsAConflictThatNamesTheFirst() {
    // Guards against a lost update: both changes are based on revision 7, and accepting the second
    // would silently undo the first.
    ConfigurationRoot root = new ConfigurationRoot(configuration(), List.of());
    ConfigurationRoot changed = after(root, change("ana-1", put(rule("filings", 90_000))));

    AcceptanceStep step =
        ChangeAcceptor.decide(
            basedOn(7, change("bea-1", put(rule("filings", 70_000)))), changed, 8, 8, NOW);

    ChangeRefusal refusal = ((AcceptanceStep.Refuse) step).refusal();
    assertThat(refusal).isInstanceOf(ChangeRefusal.Conflict.class);
    assertThat(refusal.message()).contains("order ana-1 of ana made revision 8");
  }

  @Test
  void changesOfDifferentObjectsAreBothAccepted() {
    ConfigurationRoot root = new ConfigurationRoot(configuration(), List.of());
    ConfigurationRoot changed = after(root, change("ana-1", put(rule("filings", 90_000))));

    ConfigurationRoot next =
        after(changed, basedOn(7, change("bea-1", put(upstream("lector-3", 9003, "lector")))));

    assertThat(next.configuration().revision()).isEqualTo(9);
    assertThat(next.recentOrders()).extracting(OrderRecord::revision).containsExactly(8L, 9L);
  }

  @Test
  void aBaseRevisionOlderThanTheRecordedChangesIsRefused() {
    ConfigurationRoot root = new ConfigurationRoot(configuration(), List.of());
    for (int order = 0; order <= ChangeAcceptor.MAXIMUM_RECENT_ORDERS; order++) {
      root = after(root, change("o" + order, put(rule("filings", 60_001 + order))));
    }

    AcceptanceStep step =
        ChangeAcceptor.decide(
            basedOn(7, change("late", put(upstream("lector-3", 9003, "lector")))),
            root,
            root.configuration().revision(),
            0,
            NOW);

    assertThat(root.recentOrders()).hasSize(ChangeAcceptor.MAXIMUM_RECENT_ORDERS);
    assertThat(((AcceptanceStep.Refuse) step).refusal())
        .isEqualTo(new ChangeRefusal.BaseUnknown(7, 8, 208));
  }

  @Test
  void aChangeIsRefusedWhileTheStoreIsOlderThanTheRevisionInForce() {
    // Guards against reusing a revision number for other content after the store was restored from
    // a backup.
    ConfigurationRoot root = new ConfigurationRoot(configuration(), List.of());

    AcceptanceStep step =
        ChangeAcceptor.decide(change("o1", put(rule("filings", 90_000))), root, 7, 9, NOW);

    assertThat(((AcceptanceStep.Refuse) step).refusal())
        .isEqualTo(new ChangeRefusal.StoreBehind(7, 9));
  }
}
