package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.platform.standin.StreamEvent;

/** Counts streams that change their software version, and those that go on when resumed. */
final class StreamCount {

  private final List<String> mixed = new ArrayList<>();
  private int sent;
  private int begun;
  private int resumed;
  private int continued;

  /** Counts a new stream that was sent to a daemon without a recent fault. */
  void newStream(boolean hasBegun) {
    sent++;
    begun += hasBegun ? 1 : 0;
  }

  /** Counts a stream that was resumed at such a daemon while engines of its version served. */
  void resumedStream(boolean hasContinued) {
    resumed++;
    continued += hasContinued ? 1 : 0;
  }

  /** Records all events that the caller of a stream has received. */
  void ended(String stream, List<StreamEvent> events) {
    List<String> versions = events.stream().map(StreamEvent::version).distinct().toList();
    if (versions.size() > 1) {
      mixed.add(stream + " " + versions);
    }
  }

  /** Returns the result. */
  PlatformSoakReport.Streams result() {
    return new PlatformSoakReport.Streams(sent, begun, resumed, continued, mixed);
  }
}
