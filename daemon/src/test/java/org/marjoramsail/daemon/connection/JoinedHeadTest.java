package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which heads of responses are one head. */
final class JoinedHeadTest {

  private static final String REASON = "OK";

  /** Guards against a head with the status of one response and the headers of the next. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Failed",
        "1,0,1HTTP/1.0 503 Full",
        "OKHTTP/1.1 500 Internal Server Error",
        "9cHTTP/1.1 503 Service Unavailable",
        "HTTP/1.0 204"
      })
  void aHeadWithTheStatusLineOfAnotherIsJoined(String text) {
    assertThat(JoinedHead.isJoined(REASON, header(text))).isTrue();
    assertThat(JoinedHead.isJoined(text, header("1,0,16"))).isTrue();
  }

  /** Guards against a response that is dropped since a header names the protocol. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 proxy",
        "HTTP/1.1 gateway-4",
        "HTTP/1.1 203.0.113.7",
        "HTTP/2 200",
        "HTTP/2.0",
        "1.1 proxy",
        ""
      })
  void aHeadThatNamesTheProtocolIsNotJoined(String text) {
    assertThat(JoinedHead.isJoined(REASON, header(text))).isFalse();
  }

  @Test
  void aHeadWithoutAReasonIsNotJoined() {
    assertThat(JoinedHead.isJoined("", header("1,0,16"))).isFalse();
  }

  private static MultiMap header(String value) {
    return MultiMap.caseInsensitiveMultiMap().add("x-header", value);
  }
}
