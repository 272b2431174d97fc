package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that is made of two responses. */
final class JoinedBodyTest {

  private static final String TEXT = "half a body HTTP/1.1 200 OK";

  @Test
  void aPartOfAStatusLineIsNoStatusLine() {
    assertThat(JoinedBody.containsStatusLine("one HTTP/1.1 200 OK")).isTrue();
    assertThat(JoinedBody.containsStatusLine("one HTTP/1.1 20")).isFalse();
    assertThat(JoinedBody.containsStatusLine("one H")).isFalse();
  }

  @Test
  void aStatusLineThatBeginsInTheLastBytesIsFound() {
    assertThat(JoinedBody.isStatusLineAcross("answeH", "TTP/1.1 500 ")).isTrue();
    assertThat(JoinedBody.isStatusLineAcross("answeH", "TT")).isTrue();
    assertThat(JoinedBody.isStatusLineAcross("aHTTP/1.1 50", "0 Failed\r\nat")).isTrue();
    assertThat(JoinedBody.isStatusLineAcross("HTTP/1.1 500", " Failed\r\natt")).isTrue();
  }

  @Test
  void aStatusLineThatBeginsBehindTheLastBytesIsNotFound() {
    assertThat(JoinedBody.isStatusLineAcross("answer", "HTTP/1.1 500")).isFalse();
    assertThat(JoinedBody.isStatusLineAcross("answeH", "\r\n")).isFalse();
    assertThat(JoinedBody.isStatusLineAcross("answeH", "")).isFalse();
    assertThat(JoinedBody.isStatusLineAcross("HTTP/1.1 ", "OK")).isFalse();
    assertThat(JoinedBody.isStatusLineAcross("", "HTTP/1.1 500")).isFalse();
  }

  static IntStream positions() {
    return IntStream.rangeClosed(0, TEXT.length());
  }

  @ParameterizedTest
  @MethodSource("positions")
  void aStatusLineIsFoundInWhateverPartsTheBodyComes(int position) {
    JoinedBody body = new JoinedBody();
    body.add(bytes(TEXT.substring(0, position)));
    body.add(bytes(TEXT.substring(position)));

    assertThat(body.containsStatusLine()).isTrue();
    assertThat(body.isContinuedBy("rest")).isTrue();
    assertThat(body.isContinuedBy("")).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "half a body HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n",
        "half a body HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nserver: x\r\nrest",
        "HTTP/1.1 200 OK and HTTP/1.1 200 OK\r\na: b\r\ntransfer-encoding: chunked\r\nrest\r\n"
      })
  void aHeadWhoseEmptyLineEndsItsChunkIsFoundInWhateverPartsTheBodyComes(String text) {
    for (int position = 0; position <= text.length(); position++) {
      JoinedBody body = new JoinedBody();
      body.add(bytes(text.substring(0, position)));
      body.add(bytes(text.substring(position)));

      assertThat(body.isContinuedBy("")).isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n3\r\noff",
        "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n",
        "HTTP/1.1 500 Failed\r\nor\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\nHTTP/1.1 500 Failed\r\n"
      })
  void aBodyThatQuotesAWholeHeadIsNotJoined(String text) {
    JoinedBody body = new JoinedBody();
    body.add(bytes(text));

    assertThat(body.isContinuedBy("")).isFalse();
  }

  @Test
  void aStatusLineThatComesByteByByteIsFound() {
    JoinedBody body = new JoinedBody();
    TEXT.chars().forEach(character -> body.add(bytes(Character.toString(character))));

    assertThat(body.containsStatusLine()).isTrue();
  }

  @Test
  void aBodyWithoutAStatusLineIsNotContinued() {
    JoinedBody body = new JoinedBody();
    body.add(bytes("whole"));

    assertThat(body.containsStatusLine()).isFalse();
    assertThat(body.isContinuedBy("HTTP/1.1 200 OK")).isFalse();
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }
}
