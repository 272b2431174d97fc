package org.marjoramsail.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Cuts a stream of bytes into lines, however the network has split them.
 *
 * <p>Lines are cut before they are decoded, so that a character split between two reads stays
 * whole. A line over the limit ends the stream.
 */
final class LineParser {

  private final int maximumLineBytes;
  private final Consumer<Buffer> lines;
  private Buffer rest = Buffer.buffer();
  private int searchedBytes;

  LineParser(int maximumLineBytes, Consumer<Buffer> lines) {
    this.maximumLineBytes = maximumLineBytes;
    this.lines = lines;
  }

  /** Handles the next bytes; false when a line is over the limit. */
  boolean feed(Buffer bytes) {
    rest.appendBuffer(bytes);
    int lineStart = 0;
    for (int position = searchedBytes; position < rest.length(); position++) {
      if (rest.getByte(position) == '\n') {
        emit(rest.slice(lineStart, position));
        lineStart = position + 1;
      }
    }
    if (lineStart > 0) {
      rest = rest.getBuffer(lineStart, rest.length());
    }
    searchedBytes = rest.length();
    return rest.length() <= maximumLineBytes;
  }

  private void emit(Buffer line) {
    if (line.length() > 0) {
      lines.accept(line);
    }
  }
}
