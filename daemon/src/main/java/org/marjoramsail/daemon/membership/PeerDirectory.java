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
 * Where each run of a daemon listens. It stands between membership, which keeps it up to date, and
 * the network, which needs addresses before membership can send. Safe for use by several threads.
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
