package org.marjoramsail.standin.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/** Handles the bytes of a stream of server-sent events and gives its events. */
final class EventStreamReader {

  /** Receives the events of a stream. */
  interface Listener {
    /**
     * An event is complete.
     *
     * @param name its name; empty for an ordinary one
     * @param data its data
     */
    void event(String name, String data);
  }

  private static final String DATA = "data:";
  private static final String EVENT = "event:";

  private final RecordParser lines;
  private final Listener listener;
  private String name = "";
  private final StringBuilder data = new StringBuilder();

  EventStreamReader(Listener listener) {
    this.listener = listener;
    this.lines = RecordParser.newDelimited("\n", this::line);
  }

  void accept(Buffer bytes) {
    lines.handle(bytes);
  }

  private void line(Buffer bytes) {
    String line = bytes.toString().stripTrailing();
    if (line.isEmpty()) {
      finishEvent();
    } else if (line.startsWith(DATA)) {
      data.append(line.substring(DATA.length()).stripLeading());
    } else if (line.startsWith(EVENT)) {
      name = line.substring(EVENT.length()).strip();
    }
  }

  private void finishEvent() {
    if (data.length() > 0) {
      listener.event(name, data.toString());
    }
    data.setLength(0);
    name = "";
  }
}
