package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an event that is made of the head of another response, and the reverse. */
final class JoinedEventTest {

  private static final String EVENT = "id: 16\ndata: some words\n\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.0 503 Full\r\nretry-after: 1\r\n\r\n",
        "HTTP/1.1 500 Failed\r\nattempt-id: 9c41\r\n\r\n",
        "HTTP/1.1 5HTTP/1.1 100 Continue\r\n\r\n"
      })
  void anEventThatAHeadContinuesIsJoinedWhereverItBreaksOff(String head) {
    for (int length = 0; length < EVENT.length(); length++) {
      String bytes = EVENT.substring(0, length) + head + EVENT;
      assertThat(deliveredEvents(bytes)).as("%d bytes", length).isEmpty();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 503 Full\r\nretry-after: 1\r\n\r\n"})
  void anEventWithTheLineEndsOfAHeadIsJoined(String head) {
    assertThat(isJoined("id: 16\r\ndata: some" + head)).isTrue();
  }

  /** Guards against a head that does not begin its line, and of which nothing else can be told. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 16\nda",
        "id: 16\ndata",
        "id: 16\ndata: x\n\n",
        "id: 16\r\nda",
        "id: 16\r\nHTTP/1.1 10"
      })
  void aHeadBehindThePartOfAFieldNameIsJoined(String block) {
    for (String head :
        List.of(
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 204 No Content\n\n",
            "HTTP/1.1 100 Continue\n\n",
            "HTTP/1.1 503 Full\r\nid: 1\r\n\r\n")) {
      assertThat(isJoined(block + head)).isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 16\ndata: x\n\n", "", ": comment\n\n"})
  void aHeadBehindAnEventIsJoined(String block) {
    assertThat(isJoined(block + "HTTP/1.1 200 OK\r\n\r\n")).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 16\ndata: the backend said HTTP/1.1 502 Bad Gateway\n\n",
        "id: 16\r\ndata: the backend said HTTP/1.1 502 Bad Gateway\r\n\r\n",
        "id: 16\ndata: HTTP/1.1 502 Bad Gateway\ndata: retry-after: 1\n\n",
        "data: HTTP/1.1 100 Continue, then HTTP/1.1 200 OK\r\nid: 16\r\n\r\n",
        "data: HTTP/1.1 100 Continue\n: a comment\nid: 16\n\n",
        "id: 16\ndata: {\"text\":\"HTTP/1.1 100 Continue\\r\\n\\r\\n\"}\n\n",
        "id: 16\r\ndata: {\"text\":\"HTTP/1.1 100 Continue\"}\r\n\r\n",
        "id: 16\ndata: HTTP/1.1 2000 words\n\n",
        "id: 16\ndata: x\n\n",
        ""
      })
  void anEventThatQuotesAStatusLineIsWhole(String text) {
    assertThat(isJoined(text)).isFalse();
  }

  /** Returns the events in front of the first one that is refused, as an exchange does. */
  private static List<EventSplitter.Event> deliveredEvents(String bytes) {
    try {
      return new EventSplitter()
          .split(Buffer.buffer(bytes)).stream()
              .takeWhile(event -> !isJoined(event.text()))
              .toList();
    } catch (NumberFormatException malformedId) {
      return List.of();
    }
  }

  private static boolean isJoined(String text) {
    return JoinedEvent.isJoined(text, "attempt-id");
  }
}
