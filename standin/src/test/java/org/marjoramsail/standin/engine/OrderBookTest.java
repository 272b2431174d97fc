package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.standin.engine.EngineBodies.OrderBody;

final class OrderBookTest {

  private final AuditBook audit = new AuditBook();

  private static OrderBody order(String name, long token) {
    return new OrderBody(
        name,
        token,
        "leave",
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  @Test
  void anEngineThatChecksTokensRefusesOlderOnes() {
    OrderBook book = new OrderBook(OrderTokenPolicy.CHECKED, audit);
    book.begin(order("a", 5));

    assertThat(book.refuses(order("b", 4))).isTrue();
    assertThat(book.refuses(order("c", 5))).isFalse();
    assertThat(book.newestToken()).isEqualTo(5);
  }

  @Test
  void anEngineThatIgnoresTokensDoesStaleOrdersAndTheAuditShowsIt() {
    OrderBook book = new OrderBook(OrderTokenPolicy.IGNORED, audit);
    book.begin(order("a", 5));
    book.done(order("a", 5));
    assertThat(book.refuses(order("b", 4))).isFalse();
    book.begin(order("b", 4));
    book.done(order("b", 4));

    assertThat(audit.read("e", 1).ordersDone())
        .containsExactly(
            new EngineAudit.DoneOrder("a", 5, "leave", false),
            new EngineAudit.DoneOrder("b", 4, "leave", true));
  }

  @Test
  void aCrashFailsRunningOrdersAndKeepsTheNewestToken() {
    OrderBook book = new OrderBook(OrderTokenPolicy.CHECKED, audit);
    book.begin(order("a", 5));

    book.crashed();

    assertThat(book.find("a").orElseThrow().state()).isEqualTo(OrderBook.State.FAILED);
    assertThat(book.refuses(order("b", 4))).isTrue();
  }
}
