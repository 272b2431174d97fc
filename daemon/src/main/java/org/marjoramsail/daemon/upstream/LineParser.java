package org.marjoramsail.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Splits a byte stream into lines, independent of the boundaries of network reads.
 *
 * <p>Lines are split before they are decoded, so that a character split between two reads is
 * decoded correctly. A line over the limit ends the stream.
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

  /** Parses the next bytes, and returns false if a line is over the limit. */
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
