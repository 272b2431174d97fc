package org.marjoramsail.core.stream;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Sends the origins of streams to a daemon that keeps copies of them.
 *
 * @param streams the streams
 */
public record StreamRecordsMessage(List<StreamRecord> streams) implements PeerMessage {

  /** Copies the list, so that the record is immutable. */
  public StreamRecordsMessage {
    streams = List.copyOf(streams);
  }
}
