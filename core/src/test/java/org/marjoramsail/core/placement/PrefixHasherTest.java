package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class PrefixHasherTest {

  private static String words(String stem, int count) {
    return IntStream.range(0, count).mapToObj(i -> stem + i).collect(Collectors.joining(" "));
  }

  @Test
  void promptsWithACommonPrefixShareOnlyTheHashesOfItsBlocks() {
    String shared = words("año", 32);
    var first = PrefixHasher.hashes(shared + " " + words("a", 16));
    var second = PrefixHasher.hashes(shared + " " + words("b", 16));

    assertThat(first).hasSize(3);
    assertThat(first.subList(0, 2)).isEqualTo(second.subList(0, 2));
    assertThat(first.get(2)).isNotEqualTo(second.get(2));
  }

  @Test
  void theSameBlockAfterADifferentPrefixHasADifferentHash() {
    String block = words("x", 16);
    var hashes = PrefixHasher.hashes(block + " " + block);

    assertThat(hashes.get(0)).isNotEqualTo(hashes.get(1));
  }

  @Test
  void anIncompleteBlockHasNoHash() {
    assertThat(PrefixHasher.hashes(words("x", 31))).hasSize(1);
    assertThat(PrefixHasher.hashes("")).isEmpty();
    assertThat(PrefixHasher.hashes("  ")).isEmpty();
  }

  @Test
  void theAmountOfWhiteSpaceBetweenTokensDoesNotMatter() {
    String plain = words("x", 16);
    String spaced = "  " + plain.replace(" ", " \n ") + " ";

    assertThat(PrefixHasher.hashes(spaced)).isEqualTo(PrefixHasher.hashes(plain));
    assertThat(PrefixHasher.tokenCount(spaced)).isEqualTo(16);
  }

  @Test
  void theNumberOfBlocksCanBeLimited() {
    String prompt = words("x", 160);

    assertThat(PrefixHasher.hashes(prompt, 3)).isEqualTo(PrefixHasher.hashes(prompt).subList(0, 3));
  }

  @Test
  void theFirstHashCoversEightZeroBytesAndTheTextOfTheBlock() {
    String block = words("ñ", 16);
    byte[] text = block.getBytes(StandardCharsets.UTF_8);
    byte[] input = new byte[Long.BYTES + text.length];
    System.arraycopy(text, 0, input, Long.BYTES, text.length);

    assertThat(PrefixHasher.hashes(block))
        .containsExactly(Hashing.xxh3_64().hashBytesToLong(input));
  }
}
