package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class HeadGrammarTest {

  private static final String HEAD =
      String.join(
          "\r\n",
          "HTTP/1.1 103 Early Hints",
          "Link: </a>",
          "",
          "HTTP/1.1 200 OK",
          "X-Y:\tv",
          "Transfer-Encoding: Chunked",
          "",
          "");

  static Stream<Arguments> brokenHeads() {
    return Stream.of(
        Arguments.of("HTTP/2.0 200 OK", HeadRule.VERSION),
        Arguments.of("HTTP/1.1 600 OK", HeadRule.STATUS),
        Arguments.of("HTTP/1.1 0200 OK", HeadRule.STATUS),
        Arguments.of("HTTP/1.1 200 O\7K", HeadRule.REASON_PHRASE),
        Arguments.of("HTTP/1.1 200 OK\r\nBad Name: x", HeadRule.FIELD_NAME),
        Arguments.of("HTTP/1.1 200 OK\r\n: x", HeadRule.FIELD_NAME),
        Arguments.of("HTTP/1.1 200 OK\r\n folded", HeadRule.FIELD_NAME),
        Arguments.of("HTTP/1.1 200 OK\r\nX: a\1b", HeadRule.FIELD_VALUE),
        Arguments.of("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1", HeadRule.FRAMING),
        Arguments.of("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", HeadRule.FRAMING),
        Arguments.of("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 99 OK", HeadRule.STATUS),
        Arguments.of("HTTP/1.1 200 OK\nX: y", HeadRule.LINE_END),
        Arguments.of("HTTP/1.1 200\nX: y", HeadRule.LINE_END),
        Arguments.of("HTTP/1.1 200 OK\r\nX: y\nZ: y", HeadRule.LINE_END),
        Arguments.of("HTTP/1.1 200 OK\r\nX: y\r\n\n", HeadRule.LINE_END));
  }

  @ParameterizedTest
  @MethodSource("brokenHeads")
  void theRuleThatIsBrokenIsNamed(String head, HeadRule rule) {
    assertThat(brokenRule(head + "\r\n\r\n")).contains(rule);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.0 100\r\n\r\nHTTP/1.0 599 \r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX:\r\n\r\n"
      })
  void aHeadThatKeepsToTheGrammarIsAccepted(String head) {
    assertThat(brokenRule(head + "Any \u0000 body: \r\n")).isEmpty();
  }

  /** Guards against a line that is not checked since it arrives in two segments. */
  @Property(seed = "84", tries = 20_000)
  void segmentsMakeNoDifference(
      @ForAll @IntRange(max = 90) int cut,
      @ForAll @IntRange(max = 90) int position,
      @ForAll char replacement)
      throws MalformedHeadException {
    StringBuilder head = new StringBuilder(HEAD);
    head.setCharAt(position, (char) (replacement & 0xff));
    HeadGrammar grammar = new HeadGrammar();

    Optional<HeadRule> whole = brokenRule(head.toString());

    assertThat(
            brokenRule(grammar, head.substring(0, cut))
                .or(() -> brokenRule(grammar, head.substring(cut))))
        .isEqualTo(whole);
  }

  /** Guards against a head that is accepted here and altered by the decoder. */
  @Property(seed = "1102002159308364638", tries = 20_000)
  void theDecoderReadsAnAcceptedHeadAsItWasSent(
      @ForAll @IntRange(min = 100, max = 599) int status, @ForAll("lines") List<String> lines) {
    String head = "HTTP/1.1 " + status + " OK\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
    Assume.that(brokenRule(head).isEmpty());
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());

    channel.writeInbound(bytes(head));
    HttpResponse response = channel.readInbound();
    channel.finishAndReleaseAll();

    assertThat(response.decoderResult().isSuccess()).isTrue();
    assertThat(response.status().code()).isEqualTo(status);
    assertThat(response.headers().entries())
        .extracting(field -> field.getKey() + ":" + field.getValue())
        .containsExactlyElementsOf(
            Stream.of(head.split("\r\n"))
                .skip(1)
                .takeWhile(line -> !line.isEmpty())
                .map(line -> line.split(":", 2))
                .map(field -> field[0] + ":" + field[1].strip())
                .toList());
  }

  @Provide
  static Arbitrary<List<String>> lines() {
    Arbitrary<Character> anyByte = Arbitraries.chars().range('\0', '\377');
    Arbitrary<Character> usual = Arbitraries.chars().alpha().numeric().with('-', '_');
    Arbitrary<String> name =
        Arbitraries.frequencyOf(Tuple.of(9, usual), Tuple.of(1, anyByte))
            .list()
            .ofMinSize(1)
            .ofMaxSize(6)
            .map(HeadGrammarTest::text);
    Arbitrary<String> value =
        Arbitraries.frequencyOf(Tuple.of(30, usual), Tuple.of(1, anyByte))
            .list()
            .ofMaxSize(6)
            .map(HeadGrammarTest::text);
    return Combinators.combine(name, value)
        .as((one, other) -> one + ": " + other)
        .list()
        .ofMinSize(1)
        .ofMaxSize(3);
  }

  private static String text(List<Character> characters) {
    return characters.stream().map(String::valueOf).collect(Collectors.joining());
  }

  /** Guards against a log line as long as the line that a server sends. */
  @Test
  void theQuotedLineIsPrintableAndBounded() {
    String head = "HTTP/1.1 200 OK\r\nX: " + "a".repeat(1_000) + "\0\r\n\r\n";

    MalformedHeadException cause =
        catchThrowableOfType(
            MalformedHeadException.class, () -> new HeadGrammar().check(bytes(head)));
    MalformedHeadException escaped =
        catchThrowableOfType(
            MalformedHeadException.class, () -> new HeadGrammar().check(bytes("HTTP/\1")));

    assertThat(cause.line()).startsWith("X: aaa").hasSize(128);
    assertThat(escaped.line()).isEqualTo("HTTP/\\x01");
  }

  private static Optional<HeadRule> brokenRule(String head) {
    return brokenRule(new HeadGrammar(), head);
  }

  private static Optional<HeadRule> brokenRule(HeadGrammar grammar, String bytes) {
    try {
      grammar.check(bytes(bytes));
      return Optional.empty();
    } catch (MalformedHeadException broken) {
      return Optional.of(broken.rule());
    }
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
