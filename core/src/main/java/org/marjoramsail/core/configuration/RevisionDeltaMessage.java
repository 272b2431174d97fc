package org.marjoramsail.core.configuration;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Brings a daemon that has the first base to the last revision.
 *
 * @param deltas each applies to what the one before it makes
 */
public record RevisionDeltaMessage(List<RevisionDelta> deltas) implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public RevisionDeltaMessage {
    deltas = List.copyOf(deltas);
  }
}
