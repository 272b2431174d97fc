package org.marjoramsail.daemon.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.discovery.RelayOfferMessage;
import org.marjoramsail.core.discovery.RelayRequestMessage;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;

/**
 * Daemons that relay the calls of this one to upstreams that it does not reach. Asks a few at a
 * time, so that the cost does not grow with the fleet. Runs on one event loop.
 */
public final class Relays {

  /** Number of daemons that are asked together. */
  private static final int ASKED = 4;

  /** Time for which an offer is used, in milliseconds. */
  private static final long OFFER_MILLIS = 2_000;

  /** Age at which offers are renewed, in milliseconds. */
  private static final long RENEWAL_MILLIS = 1_000;

  /** Shortest time between two requests for offers, in milliseconds. */
  private static final long REQUEST_INTERVAL_MILLIS = 100;

  private record Offer(Relay relay, long receivedAtMillis) {}

  private final DaemonId self;
  private final PeerTransport transport;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<DaemonId, Offer> offers = new HashMap<>();
  private List<Member> members = List.of();
  private long askedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Creates an instance that knows no other daemon.
   *
   * @param random selects the daemons that are asked, and those that are used
   */
  public Relays(DaemonId self, PeerTransport transport, Clock clock, RandomGenerator random) {
    this.self = self;
    this.transport = transport;
    this.clock = clock;
    this.random = random;
  }

  /** Handles a change of the membership. */
  public void membersChanged(MembershipView view) {
    members =
        view.members().stream()
            .filter(member -> member.state().isEligible() && !member.id().equals(self))
            .toList();
    offers.keySet().removeIf(daemon -> member(daemon).isEmpty());
  }

  /** Handles an offer. */
  public void offered(DaemonId from, RelayOfferMessage message) {
    member(from)
        .map(member -> new Relay(from, member.address(), message.port(), message.token()))
        .ifPresent(relay -> offers.put(from, new Offer(relay, clock.millis())));
  }

  /**
   * Asks for offers if none is recent; called several times a second while upstreams are not
   * reached.
   */
  public void ask() {
    long nowMillis = clock.millis();
    offers.values().removeIf(offer -> nowMillis - offer.receivedAtMillis() > OFFER_MILLIS);
    boolean isAnyRecent =
        offers.values().stream()
            .anyMatch(offer -> nowMillis - offer.receivedAtMillis() < RENEWAL_MILLIS);
    if (isAnyRecent || nowMillis - askedAtMillis < REQUEST_INTERVAL_MILLIS) {
      return;
    }
    askedAtMillis = nowMillis;
    List<Member> asked = new ArrayList<>(members);
    Collections.shuffle(asked, new Random(random.nextLong()));
    asked.stream()
        .limit(ASKED)
        .forEach(member -> transport.send(member.id(), new RelayRequestMessage(nowMillis)));
  }

  /** Returns one of the relays at random; empty if there is none. */
  Optional<Relay> choose() {
    List<Offer> usable =
        offers.values().stream()
            .filter(offer -> clock.millis() - offer.receivedAtMillis() <= OFFER_MILLIS)
            .toList();
    return usable.isEmpty()
        ? Optional.empty()
        : Optional.of(usable.get(random.nextInt(usable.size())).relay());
  }

  /** Records that a relay could not be used. */
  void failed(Relay relay) {
    offers.remove(relay.daemon());
  }

  private Optional<Member> member(DaemonId daemon) {
    return members.stream().filter(member -> member.id().equals(daemon)).findAny();
  }
}
