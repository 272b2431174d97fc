package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.language.Condition;
import org.marjoramsail.language.Subject;

/**
 * Asks a daemon for its part of an answer.
 *
 * @param number returns with the answer
 * @param subject what is asked about
 * @param name the service to which the answer is confined, or the request that is asked about
 * @param conditions which rows are wanted; all must hold
 * @param organisation the only organisation whose rows may be given; absent for all
 * @param mostRows how many rows are wanted at most
 */
public record OperatorQueryMessage(
    long number,
    Subject subject,
    Optional<String> name,
    List<Condition> conditions,
    Optional<String> organisation,
    int mostRows)
    implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public OperatorQueryMessage {
    conditions = List.copyOf(conditions);
  }

  OperatorQueryMessage withNumber(long other) {
    return new OperatorQueryMessage(other, subject, name, conditions, organisation, mostRows);
  }
}
