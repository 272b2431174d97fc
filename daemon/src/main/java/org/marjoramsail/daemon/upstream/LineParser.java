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
  private final Consumer<Buffer> lineHandler;
  private Buffer buffer = Buffer.buffer();
  private int scannedBytes;

  LineParser(int maximumLineBytes, Consumer<Buffer> lineHandler) {
    this.maximumLineBytes = maximumLineBytes;
    this.lineHandler = lineHandler;
  }

  /** Handles the next bytes; false when a line is over the limit. */
  boolean feed(Buffer bytes) {
    buffer.appendBuffer(bytes);
    int lineStart = 0;
    for (int position = scannedBytes; position < buffer.length(); position++) {
      if (buffer.getByte(position) == '\n') {
        emit(buffer.slice(lineStart, position));
        lineStart = position + 1;
      }
    }
    if (lineStart > 0) {
      buffer = buffer.getBuffer(lineStart, buffer.length());
    }
    scannedBytes = buffer.length();
    return buffer.length() <= maximumLineBytes;
  }

  private void emit(Buffer line) {
    if (line.length() > 0) {
      lineHandler.accept(line);
    }
  }
}
