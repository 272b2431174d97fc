package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

  private static final String TWO = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  @Test
  void eventsAreCutWhereverTheBytesAreCut() {
    for (int cut = 0; cut <= TWO.length(); cut++) {
      EventSplitter splitter = new EventSplitter();
      List<EventSplitter.Event> events = new ArrayList<>(take(splitter, TWO.substring(0, cut)));
      events.addAll(take(splitter, TWO.substring(cut)));

      assertThat(events)
          .containsExactly(
              new EventSplitter.Event(1, "id: 1\ndata: a\n\n"),
              new EventSplitter.Event(2, "id: 2\ndata: b\n\n"));
      assertThat(splitter.isBroken()).isFalse();
    }
  }

  /**
   * A server crashed in the middle of an event. Half an event that reached the caller would have
   * been joined with the first bytes of the server at which the stream went on.
   */
  @Test
  void halfAnEventIsNotPassedOn() {
    EventSplitter splitter = new EventSplitter();
    assertThat(take(splitter, "id: 1\ndata: a\n\nid: 2\nda")).hasSize(1);
    assertThat(splitter.isBroken()).isTrue();
  }

  @Test
  void linesBeforeTheNumberBelongToItsEvent() {
    EventSplitter splitter = new EventSplitter();
    String versioned = "weight-versions: 2\nid: 7\ndata: a\n\n";
    assertThat(take(splitter, versioned)).containsExactly(new EventSplitter.Event(7, versioned));
  }

  @Test
  void aBlockWithoutANumberGoesWithTheNextEvent() {
    EventSplitter splitter = new EventSplitter();
    String text = ": hello\n\nid: 1\ndata: a\n\n";
    assertThat(take(splitter, text)).containsExactly(new EventSplitter.Event(1, text));
  }

  @Test
  void carriageReturnsMayEndLines() {
    EventSplitter splitter = new EventSplitter();
    String text = "id: 1\r\ndata: a\r\n\r\n";
    assertThat(take(splitter, text)).containsExactly(new EventSplitter.Event(1, text));
  }

  private static List<EventSplitter.Event> take(EventSplitter splitter, String text) {
    return splitter.take(Buffer.buffer(text));
  }
}
