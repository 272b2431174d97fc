package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against headers of another response that become the begin of a chunk. */
class JoinedChunkTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String LONG = "0123456789".repeat(20) + "\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "2b\rHTTP/1.1 200 OK\r\n",
        "000002B;name=value\rHTTP/1.0 503 Full\r\n",
        "5 \rHTTP/1.1 100 Continue\r\n",
        "2b\rHTTP/1.1 10HTTP/1.1 100 Continue\r\n",
        "2b\rHHTTP/1.1 200 \r\n"
      })
  void theSizeOfAChunkThatAnotherResponseContinuesIsFoundWhereverTheBytesAreSplit(String line) {
    for (String before : List.of("", HEAD, HEAD + "c9\r\n" + LONG + "\r\n")) {
      String bytes = (before.isEmpty() ? "\r\n" : before) + line;
      for (int end = 0; end < bytes.length(); end++) {
        assertThat(isJoined(bytes.substring(0, end), bytes.substring(end))).isTrue();
      }
      assertThat(isJoined(bytes.split(""))).isTrue();
    }
  }

  @Test
  void theSizeOfAChunkIsFoundInFrontOfMuchElse() {
    assertThat(isJoined(HEAD + "2b\rHTTP/1.1 200 OK\r\n" + LONG)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "2b\r\nHTTP/1.1 200 OK\r\n",
        HEAD + "2b\r\ndata: 2b\rHTTP/1.1 200 OK\r\n",
        HEAD + "2b\r\n2b HTTP/1.1 200 OK\r\n",
        HEAD + "2b\r\n50\r51\r\nHTTP/1.1 200 OK\r\n",
        HEAD + "2b\r\n2b\rHTTP/1.1 2000 words\r\n"
      })
  void aChunkThatQuotesAStatusLineIsNotJoined(String bytes) {
    assertThat(isJoined(bytes)).isFalse();
    assertThat(isJoined(bytes.split(""))).isFalse();
  }

  private static boolean isJoined(String... segments) {
    JoinedChunk chunk = new JoinedChunk();
    boolean isJoined = false;
    for (String segment : segments) {
      byte[] bytes = segment.getBytes(StandardCharsets.ISO_8859_1);
      isJoined |= chunk.isJoinedBy(Unpooled.wrappedBuffer(bytes));
    }
    return isJoined;
  }
}
