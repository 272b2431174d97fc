package org.marjoramsail.daemon.peer;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marjoramsail.core.claim.ClaimMessage;
import org.marjoramsail.core.claim.ClaimResultMessage;
import org.marjoramsail.core.claim.SettleMessage;
import org.marjoramsail.core.configuration.RevisionDeltaMessage;
import org.marjoramsail.core.configuration.RevisionDigestMessage;
import org.marjoramsail.core.configuration.RevisionFullMessage;
import org.marjoramsail.core.configuration.RevisionRequestMessage;
import org.marjoramsail.core.configuration.RevisionStatusMessage;
import org.marjoramsail.core.configuration.RevisionStatusRequestMessage;
import org.marjoramsail.core.discovery.ListingRequestMessage;
import org.marjoramsail.core.discovery.ListingResponseMessage;
import org.marjoramsail.core.discovery.RelayOfferMessage;
import org.marjoramsail.core.discovery.RelayRequestMessage;
import org.marjoramsail.core.membership.AckMessage;
import org.marjoramsail.core.membership.DigestMessage;
import org.marjoramsail.core.membership.PingMessage;
import org.marjoramsail.core.membership.PingRequestMessage;
import org.marjoramsail.core.membership.StateMessage;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.outcome.CrashReportMessage;
import org.marjoramsail.core.outcome.CutMessage;
import org.marjoramsail.core.outcome.PartClearanceMessage;
import org.marjoramsail.core.outcome.PartCrashMessage;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.stream.StreamQueryMessage;
import org.marjoramsail.core.stream.StreamRecordsMessage;
import org.marjoramsail.core.stream.StreamResultMessage;
import org.marjoramsail.daemon.operator.DrainHostMessage;
import org.marjoramsail.daemon.operator.LiftQuarantineMessage;
import org.marjoramsail.daemon.operator.OperatorQueryMessage;
import org.marjoramsail.daemon.operator.OperatorResultMessage;

/**
 * Type of a message between daemons, with its number on the wire.
 *
 * <p>Numbers are never reused. Ranges: 1-19 connections and membership, 20-49 placement, 50-69
 * configuration, 70-89 outcomes and quarantine, 90-109 operator requests.
 */
public enum PeerMessageType {
  HELLO(1, Hello.class),
  HELLO_PROOF(2, HelloProof.class),
  GOODBYE(3, CloseFrame.class),
  PING(4, PingMessage.class),
  ACK(5, AckMessage.class),
  PING_REQUEST(6, PingRequestMessage.class),
  DIGEST(7, DigestMessage.class),
  STATE(8, StateMessage.class),
  PLACE(20, PlacementMessage.Place.class),
  RESTORE(21, PlacementMessage.Restore.class),
  REPORT(22, PlacementMessage.Report.class),
  WITHDRAW(23, PlacementMessage.Withdraw.class),
  HOLDINGS(24, PlacementMessage.Holdings.class),
  QUEUED(25, PlacementMessage.Queued.class),
  GRANTED(26, PlacementMessage.Granted.class),
  REFUSED(27, PlacementMessage.Refused.class),
  UNKNOWN(28, PlacementMessage.Unknown.class),
  ORGANISATION_USAGE(29, OrganisationUsageMessage.class),
  REVISION_DIGEST(50, RevisionDigestMessage.class),
  REVISION_DELTA(51, RevisionDeltaMessage.class),
  REVISION_FULL(52, RevisionFullMessage.class),
  REVISION_REQUEST(53, RevisionRequestMessage.class),
  REVISION_STATUS(54, RevisionStatusMessage.class),
  REVISION_STATUS_REQUEST(55, RevisionStatusRequestMessage.class),
  LISTING_QUESTION(56, ListingRequestMessage.class),
  LISTING_ANSWER(57, ListingResponseMessage.class),
  RELAY_REQUEST(58, RelayRequestMessage.class),
  RELAY_OFFER(59, RelayOfferMessage.class),
  CRASH_REPORT(70, CrashReportMessage.class),
  CLAIM(71, ClaimMessage.class),
  CLAIM_RESULT(72, ClaimResultMessage.class),
  SETTLE(73, SettleMessage.class),
  STREAM_RECORDS(74, StreamRecordsMessage.class),
  STREAM_QUERY(75, StreamQueryMessage.class),
  STREAM_RESULT(76, StreamResultMessage.class),
  PART_CRASH(77, PartCrashMessage.class),
  PART_CLEARANCE(78, PartClearanceMessage.class),
  CUT(79, CutMessage.class),
  OPERATOR_QUESTION(90, OperatorQueryMessage.class),
  OPERATOR_ANSWER(91, OperatorResultMessage.class),
  DRAIN_HOST(92, DrainHostMessage.class),
  LIFT_QUARANTINE(93, LiftQuarantineMessage.class);

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

  /** Returns the number on the wire. */
  public int number() {
    return number;
  }

  /** Returns the class of the record. */
  public Class<? extends PeerMessage> message() {
    return message;
  }

  /**
   * Returns whether queued messages of this type are sent before others, which guards against false
   * failure detections under load.
   */
  public boolean isUrgent() {
    return number <= LAST_MEMBERSHIP_NUMBER;
  }

  /** Returns the message classes that implement {@code family}. */
  public static List<Class<? extends PeerMessage>> ofFamily(Class<? extends PeerMessage> family) {
    return Arrays.stream(values())
        .<Class<? extends PeerMessage>>map(PeerMessageType::message)
        .filter(family::isAssignableFrom)
        .toList();
  }

  /** Returns the message classes in the package of {@code packageMember}. */
  public static List<Class<? extends PeerMessage>> ofPackage(Class<?> packageMember) {
    return Arrays.stream(values())
        .<Class<? extends PeerMessage>>map(PeerMessageType::message)
        .filter(message -> message.getPackage().equals(packageMember.getPackage()))
        .toList();
  }

  /** Returns the type with a number, if this version of the protocol defines it. */
  public static Optional<PeerMessageType> ofNumber(int number) {
    return Optional.ofNullable(BY_NUMBER.get(number));
  }

  /**
   * Returns the type of a message class.
   *
   * @throws IllegalArgumentException if the class has no number, which is a programming error
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
