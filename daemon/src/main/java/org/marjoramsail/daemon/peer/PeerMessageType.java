package org.marjoramsail.daemon.peer;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marjoramsail.core.membership.AckMessage;
import org.marjoramsail.core.membership.DigestMessage;
import org.marjoramsail.core.membership.PingMessage;
import org.marjoramsail.core.membership.PingRequestMessage;
import org.marjoramsail.core.membership.StateMessage;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.daemon.operator.OperatorAnswer;
import org.marjoramsail.daemon.operator.OperatorQuestion;

/**
 * The number that stands for each record on the wire.
 *
 * <p>A number is never given to another record. Ranges: 1-19 connections and membership, 20-49
 * placement, 50-69 configuration, 70-89 outcomes and quarantine, 90-109 operators' questions.
 */
public enum PeerMessageType {
  HELLO(1, Hello.class),
  HELLO_PROOF(2, HelloProof.class),
  GOODBYE(3, Goodbye.class),
  PING(4, PingMessage.class),
  ACK(5, AckMessage.class),
  PING_REQUEST(6, PingRequestMessage.class),
  DIGEST(7, DigestMessage.class),
  STATE(8, StateMessage.class),
  OPERATOR_QUESTION(90, OperatorQuestion.class),
  OPERATOR_ANSWER(91, OperatorAnswer.class);

  private static final int LAST_MEMBERSHIP_NUMBER = 19;

  private static final Map<Integer, PeerMessageType> BY_NUMBER =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(PeerMessageType::number, Function.identity()));
  private static final Map<Class<? extends PeerMessage>, PeerMessageType> BY_CLASS =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(PeerMessageType::message, Function.identity()));

  private final int number;
  private final Class<? extends PeerMessage> message;

  PeerMessageType(int number, Class<? extends PeerMessage> message) {
    this.number = number;
    this.message = message;
  }

  /** What stands on the wire. */
  public int number() {
    return number;
  }

  /** The record that it stands for. */
  public Class<? extends PeerMessage> message() {
    return message;
  }

  /** Whether it goes before the others when messages wait, so that load looks like no death. */
  public boolean isUrgent() {
    return number <= LAST_MEMBERSHIP_NUMBER;
  }

  /** The type with this number, if this version of the protocol knows one. */
  public static Optional<PeerMessageType> ofNumber(int number) {
    return Optional.ofNullable(BY_NUMBER.get(number));
  }

  /**
   * The type of a record.
   *
   * @throws IllegalArgumentException when the class has no number, which is a fault in the program
   */
  public static PeerMessageType ofClass(Class<? extends PeerMessage> message) {
    PeerMessageType type = BY_CLASS.get(message);
    if (type == null) {
      throw new IllegalArgumentException(
          message.getName() + " has no number; add it to " + PeerMessageType.class.getName() + ".");
    }
    return type;
  }
}
