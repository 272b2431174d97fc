package org.marjoramsail.command.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.marjoramsail.daemon.request.RequestLog;

/** Reads logs of daemons and explains requests from them. */
public final class RequestExplanation {

  /** Of requests that were served at once, one in so many is written. */
  public static final long SAMPLE = RequestLog.SAMPLING_INTERVAL;

  private final List<LogLine> all = new ArrayList<>();

  /** Starts without a log. */
  public RequestExplanation() {}

  /**
   * Reads a log; lines in another form are passed over.
   *
   * @throws IOException when the file cannot be read
   */
  public void add(Path file) throws IOException {
    String source = String.valueOf(file.getFileName());
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      lines.map(line -> LogLine.parse(source, line)).flatMap(Optional::stream).forEach(all::add);
    }
  }

  /** How many lines were read. */
  public int lines() {
    return all.size();
  }

  /** The way of a request, in order of time; empty when no line is about it. */
  public List<String> of(String request) {
    return RequestStory.of(all, request).text();
  }
}
