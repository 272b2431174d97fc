package org.marjoramsail.core.configuration;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Message with a chain of deltas, which updates a daemon from the first base revision to the last
 * revision.
 *
 * @param deltas the deltas; each applies to the result of the preceding one
 */
public record RevisionDeltaMessage(List<RevisionDelta> deltas) implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public RevisionDeltaMessage {
    deltas = List.copyOf(deltas);
  }
}
