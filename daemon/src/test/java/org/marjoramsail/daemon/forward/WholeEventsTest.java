package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against joined events that look like events which quote a status line. */
class WholeEventsTest {

  private static final String QUOTING = "id: 1\ndata: HTTP/1.1 100 Continue\n\n";
  private static final String NEXT = "id: 2\ndata: b\n\n";

  private final List<Integer> ids = new ArrayList<>();
  private final WholeEvents events = new WholeEvents("attempt-id", event -> ids.add(event.id()));

  @Test
  void anEventThatContainsAStatusLineIsPassedOnWithTheNextOne() throws Exception {
    assertThat(add("id: 0\ndata: a\n\n" + QUOTING + "id: 2\nda")).isTrue();
    assertThat(ids).containsExactly(0);

    assertThat(add("ta: b\n\n")).isTrue();
    assertThat(ids).containsExactly(0, 1, 2);
  }

  @Test
  void anEventThatContainsAStatusLineIsPassedOnAtTheEndOfTheStream() throws Exception {
    assertThat(add(QUOTING + ": comment\n\n")).isTrue();
    assertThat(events.end()).isTrue();

    assertThat(ids).containsExactly(1);
    assertThat(events.trailingText()).isEqualTo(": comment\n\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nattempt-id: x\r\n\r\n", "id: 2\nda", "HTTP/1.1 2"})
  void anEventThatContainsAStatusLineIsNotPassedOnIfTheStreamBreaksOffBehindIt(String rest)
      throws Exception {
    assertThat(add(QUOTING + rest) && events.end()).isFalse();
    assertThat(ids).isEmpty();
  }

  @Test
  void anEventThatContainsAStatusLineIsNotPassedOnIfTheNextOneIsJoined() throws Exception {
    assertThat(add(QUOTING + "HTTP/1.1 200 OK\r\nattempt-id: x\r\n\r\n" + NEXT)).isFalse();
    assertThat(ids).isEmpty();
  }

  private boolean add(String text) throws NonIncreasingIdException {
    return events.add(Buffer.buffer(text));
  }
}
