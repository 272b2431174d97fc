package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class PrefixCacheTest {

  private static final long LAG_MILLIS = 500;

  private static CacheEvents events(double lossShare) {
    return new CacheEvents(LAG_MILLIS, lossShare, new SplittableRandom(5));
  }

  @Test
  void aMatchEndsAtTheFirstMissingBlock() {
    PrefixCache cache = new PrefixCache(8, events(0));
    cache.store(List.of(1L, 2L), 0);

    assertThat(cache.match(List.of(1L, 2L, 3L))).isEqualTo(2);
    assertThat(cache.match(List.of(9L, 1L))).isZero();
  }

  @Test
  void theLeastRecentlyUsedBlocksGoFirst() {
    PrefixCache cache = new PrefixCache(4, events(0));
    cache.store(List.of(1L, 2L), 0);
    cache.store(List.of(3L, 4L), 0);
    cache.match(List.of(1L, 2L));
    cache.store(List.of(5L, 6L), 0);

    assertThat(cache.match(List.of(1L, 2L))).isEqualTo(2);
    assertThat(cache.match(List.of(3L))).isZero();
    assertThat(cache.size()).isEqualTo(4);
  }

  @Test
  void aPromptLongerThanTheCacheKeepsItsFirstBlocks() {
    PrefixCache cache = new PrefixCache(2, events(0));
    cache.store(List.of(1L, 2L, 3L), 0);

    assertThat(cache.match(List.of(1L, 2L, 3L))).isEqualTo(2);
  }

  @Test
  void eventsAreSeenOnlyAfterTheLag() {
    CacheEvents events = events(0);
    new PrefixCache(8, events).store(List.of(7L), 100);

    assertThat(events.after(0, 599).events()).isEmpty();
    assertThat(events.after(0, 600).events())
        .containsExactly(new CacheEvents.Event(1, CacheEvents.Kind.STORED, 7));
    assertThat(events.after(1, 600).events()).isEmpty();
  }

  @Test
  void lostEventsLeaveGapsInTheSequence() {
    CacheEvents events = events(0.5);
    for (long hash = 1; hash <= 100; hash++) {
      events.add(CacheEvents.Kind.STORED, hash, 0);
    }
    List<CacheEvents.Event> seen = events.after(0, LAG_MILLIS).events();

    assertThat(seen).hasSizeBetween(20, 80);
    assertThat(seen).allSatisfy(event -> assertThat(event.sequence()).isEqualTo(event.hash()));
  }
}
