package org.marjoramsail.daemon.membership;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.model.DaemonId;

/**
 * Directory of the addresses of all known incarnations of daemons.
 *
 * <p>Membership updates it and the network reads it, which breaks the cycle between the two. Safe
 * for use by several threads.
 */
public final class PeerDirectory implements Function<DaemonId, Optional<PeerAddress>> {

  private volatile Map<DaemonId, PeerAddress> addresses = Map.of();

  @Override
  public Optional<PeerAddress> apply(DaemonId daemon) {
    return Optional.ofNullable(addresses.get(daemon));
  }

  void update(MembershipView view) {
    addresses =
        view.members().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    Member::id, member -> new PeerAddress(member.address(), member.port())));
  }
}
