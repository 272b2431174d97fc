package org.marjoramsail.command.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What the logs say of one request, and what its daemon began to believe shortly before and
 * meanwhile.
 */
final class RequestStory {

  /** Beliefs that changed this long before the first line about the request still explain it. */
  private static final Duration BEFORE = Duration.ofSeconds(5);

  private final List<LogLine> lines;

  private RequestStory(List<LogLine> lines) {
    this.lines = lines;
  }

  /**
   * Picks the lines of a request.
   *
   * @param all the lines of all logs
   * @param request its identifier, or the beginning of it: callers know only that part
   */
  static RequestStory of(List<LogLine> all, String request) {
    List<LogLine> own =
        all.stream()
            .filter(line -> !line.request().isEmpty() && line.request().startsWith(request))
            .sorted(Comparator.comparing(LogLine::at))
            .toList();
    if (own.isEmpty()) {
      return new RequestStory(List.of());
    }
    Instant from = own.get(0).at().minus(tookOf(own)).minus(BEFORE);
    Instant to = own.get(own.size() - 1).at();
    List<String> sources = own.stream().map(LogLine::source).distinct().toList();
    List<LogLine> story = new ArrayList<>(own);
    all.stream()
        .filter(LogLine::isBelief)
        .filter(line -> sources.contains(line.source()))
        .filter(line -> !line.at().isBefore(from) && !line.at().isAfter(to))
        .forEach(story::add);
    story.sort(Comparator.comparing(LogLine::at));
    return new RequestStory(story);
  }

  private static Duration tookOf(List<LogLine> own) {
    Instant first = own.get(0).at();
    Instant last = own.get(own.size() - 1).at();
    return Duration.between(first, last);
  }

  /** Whether no log knows the request. */
  boolean isEmpty() {
    return lines.isEmpty();
  }

  /** The lines in order of time, each ready to be printed. */
  List<String> text() {
    return lines.stream()
        .map(
            line ->
                line.at()
                    + "  "
                    + line.source()
                    + "  "
                    + line.message()
                    + (line.fields().isEmpty() ? "" : "\n    " + steps(line.fields())))
        .toList();
  }

  /** Puts the steps of a request's way one below the other. */
  private static String steps(String fields) {
    return fields.replace("way=", "way:\n      ").replace("; ", "\n      ");
  }
}
