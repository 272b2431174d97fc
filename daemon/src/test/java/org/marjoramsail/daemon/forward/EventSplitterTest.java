package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

  private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  @Test
  void eventsAreCompleteWhereverTheBytesAreSplit() {
    for (int cut = 0; cut <= TWO_EVENTS.length(); cut++) {
      EventSplitter splitter = new EventSplitter();
      List<EventSplitter.Event> events =
          new ArrayList<>(split(splitter, TWO_EVENTS.substring(0, cut)));
      events.addAll(split(splitter, TWO_EVENTS.substring(cut)));

      assertThat(events)
          .containsExactly(
              new EventSplitter.Event(1, "id: 1\ndata: a\n\n"),
              new EventSplitter.Event(2, "id: 2\ndata: b\n\n"));
      assertThat(splitter.hasIncompleteEvent()).isFalse();
    }
  }

  /**
   * Guards against half an event reaching the caller when a server crashes, since it would be
   * joined to the first bytes of the resumed stream.
   */
  @Test
  void anIncompleteEventIsNotReturned() {
    EventSplitter splitter = new EventSplitter();
    assertThat(split(splitter, "id: 1\ndata: a\n\nid: 2\nda")).hasSize(1);
    assertThat(splitter.hasIncompleteEvent()).isTrue();
  }

  @Test
  void linesBeforeTheIdBelongToItsEvent() {
    EventSplitter splitter = new EventSplitter();
    String text = "weight-versions: 2\nid: 7\ndata: a\n\n";
    assertThat(split(splitter, text)).containsExactly(new EventSplitter.Event(7, text));
  }

  @Test
  void aBlockWithoutAnIdIsJoinedToTheNextEvent() {
    EventSplitter splitter = new EventSplitter();
    String text = ": hello\n\nid: 1\ndata: a\n\n";
    assertThat(split(splitter, text)).containsExactly(new EventSplitter.Event(1, text));
  }

  /** Guards against a stream that is taken for broken off since its last block has no id. */
  @Test
  void completeBlocksAfterTheLastEventAreKeptForTheEndOfTheStream() {
    EventSplitter splitter = new EventSplitter();

    assertThat(split(splitter, "id: 1\ndata: a\n\n: b\n\ndata: c\n\n")).hasSize(1);

    assertThat(splitter.hasIncompleteEvent()).isFalse();
    assertThat(splitter.trailingText()).isEqualTo(": b\n\ndata: c\n\n");
  }

  @Test
  void aFurtherBlankLineAfterTheLastEventIsNoIncompleteEvent() {
    EventSplitter splitter = new EventSplitter();

    assertThat(split(splitter, "id: 1\ndata: a\n\n\r\n")).hasSize(1);

    assertThat(splitter.hasIncompleteEvent()).isFalse();
    assertThat(splitter.trailingText()).isEqualTo("\r\n");
  }

  @Test
  void anIncompleteBlockAfterACompleteOneWithoutAnIdIsAnIncompleteEvent() {
    EventSplitter splitter = new EventSplitter();

    assertThat(split(splitter, "id: 1\ndata: a\n\n: b\n\ndata: c")).hasSize(1);

    assertThat(splitter.hasIncompleteEvent()).isTrue();
  }

  @Test
  void linesMayEndWithCarriageReturnAndLineFeed() {
    EventSplitter splitter = new EventSplitter();
    String text = "id: 1\r\ndata: a\r\n\r\n";
    assertThat(split(splitter, text)).containsExactly(new EventSplitter.Event(1, text));
  }

  private static List<EventSplitter.Event> split(EventSplitter splitter, String text) {
    return splitter.split(Buffer.buffer(text));
  }
}
