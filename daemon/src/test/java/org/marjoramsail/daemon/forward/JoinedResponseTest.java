package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

/** Guards against a response that is made of the status of one and the body of another. */
class JoinedResponseTest {

  private static final String ATTEMPT = "9c41d07be2a35f68";
  private static final String WHOLE =
      "HTTP/1.1 500 Internal Server Error\r\nattempt-id: " + ATTEMPT + "\r\n\r\n";

  @Test
  void aResponseInABodyIsFoundWhicheverRequestItNames() {
    assertThat(isBodyJoined("half a bo" + WHOLE)).isTrue();
    assertThat(isBodyJoined("half a bo" + WHOLE.replace(ATTEMPT, "0b"))).isTrue();
    assertThat(isBodyJoined(WHOLE.replace("attempt-id", "ATTEMPT-ID"))).isTrue();
  }

  @Test
  void aBodyThatQuotesAStatusLineOrAnIdentifierIsWhole() {
    assertThat(isBodyJoined("backend: HTTP/1.1 502 Bad Gateway, attempt-id: " + ATTEMPT)).isFalse();
    assertThat(isBodyJoined("attempt-id: " + ATTEMPT + "\r\nHTTP/1.1 500 Failed\r\n")).isFalse();
    assertThat(isBodyJoined("HTTP/1.1 500 Failed\r\nretry-after: 1\r\n\r\n")).isFalse();
    assertThat(isBodyJoined(ATTEMPT)).isFalse();
    assertThat(isBodyJoined("")).isFalse();
  }

  @Test
  void aStatusWithoutABodyThatAnnouncesOneIsFound() {
    MultiMap long800 = MultiMap.caseInsensitiveMultiMap().add("content-length", "800");
    MultiMap empty = MultiMap.caseInsensitiveMultiMap().add("content-length", "0");

    assertThat(ConnectionReuse.isBodyDropped(205, long800)).isTrue();
    assertThat(ConnectionReuse.isBodyDropped(204, headers("chunked"))).isFalse();
    assertThat(ConnectionReuse.isBodyDropped(204, empty)).isFalse();
    assertThat(ConnectionReuse.isBodyDropped(200, long800)).isFalse();
  }

  private static boolean isBodyJoined(String body) {
    return JoinedResponse.isBodyJoined(Buffer.buffer(body), "attempt-id");
  }

  private static MultiMap headers(String value) {
    return MultiMap.caseInsensitiveMultiMap().add("via", value);
  }
}
