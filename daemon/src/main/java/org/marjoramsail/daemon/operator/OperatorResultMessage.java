package org.marjoramsail.daemon.operator;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * One daemon's part of an answer.
 *
 * @param number the number of the question
 * @param rows a text for each column of the subject
 * @param truncated whether there are more rows than these
 */
public record OperatorResultMessage(long number, List<List<String>> rows, boolean truncated)
    implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public OperatorResultMessage {
    rows = List.copyOf(rows);
  }
}
