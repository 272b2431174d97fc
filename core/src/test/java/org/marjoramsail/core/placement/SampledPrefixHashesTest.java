package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SampledPrefixHashesTest {

  private static String words(int count) {
    return IntStream.range(0, count).mapToObj(n -> "w" + n).collect(Collectors.joining(" "));
  }

  @Test
  void blocksAreSampledAtPowersOfTwoAndTheirMidpoints() {
    assertThat(IntStream.range(0, 10).map(SampledPrefixHashes::blocks))
        .containsExactly(1, 2, 3, 4, 6, 8, 12, 16, 24, 32);
  }

  @Test
  void eachSampledHashIsTheHashOfItsBlock() {
    String prompt = words(7 * PrefixHasher.BLOCK_TOKENS);
    List<Long> hashes = PrefixHasher.hashes(prompt);

    assertThat(SampledPrefixHashes.of(prompt))
        .containsExactly(hashes.get(0), hashes.get(1), hashes.get(2), hashes.get(3), hashes.get(5));
  }

  @Test
  void aLongPromptHasFewSampledHashes() {
    assertThat(SampledPrefixHashes.of(words(50_000))).hasSize(22);
  }

  @Test
  void anIndexOfAllBlocksMatchesTheLastSampledHashOfACommonPrefix() {
    PrefixIndex index = new PrefixIndex();
    PrefixHasher.hashes(words(20 * PrefixHasher.BLOCK_TOKENS)).forEach(index::add);

    assertThat(index.match(SampledPrefixHashes.of(words(100 * PrefixHasher.BLOCK_TOKENS))))
        .isEqualTo(16);
  }

  @Test
  void hashesBeyondTheCachedPrefixAreRemoved() {
    PrefixIndex index = new PrefixIndex();
    List<Long> sampledHashes = SampledPrefixHashes.of(words(100 * PrefixHasher.BLOCK_TOKENS));
    index.addAll(sampledHashes);
    index.removeBeyond(sampledHashes, 5);

    assertThat(index.match(sampledHashes)).isEqualTo(4);
  }
}
