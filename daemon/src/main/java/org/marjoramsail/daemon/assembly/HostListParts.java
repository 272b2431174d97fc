package org.marjoramsail.daemon.assembly;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.daemon.membership.MembershipService;
import org.marjoramsail.daemon.platform.HostEntry;
import org.marjoramsail.daemon.platform.HostList;
import org.marjoramsail.daemon.platform.HostListClient;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;

/** Gives the platform's list of hosts to those who need it. */
final class HostListParts {

  /** Calls are at most one and a half of this apart, so that a leaving host is seen within 3 s. */
  private static final long ASK_MILLIS = 1_800;

  private final MembershipService membership;
  private final Consumer<Set<PeerAddress>> leavingUpstreams;
  private final HostListClient client;
  private volatile List<HostEntry> hosts = List.of();

  HostListParts(
      Vertx vertx,
      HttpObjectApiSettings platform,
      MembershipService membership,
      Consumer<Set<PeerAddress>> leavingUpstreams,
      RandomGenerator random,
      MeterRegistry meters) {
    this.membership = membership;
    this.leavingUpstreams = leavingUpstreams;
    this.client = new HostListClient(vertx, platform, ASK_MILLIS, random, meters, this::listed);
  }

  void start() {
    client.start();
  }

  void stop() {
    client.close();
  }

  /** The list as it was heard last. */
  List<HostEntry> hosts() {
    return hosts;
  }

  private void listed(HostList list) {
    hosts = list.hosts();
    membership.hostList(
        list.hosts().stream()
            .filter(host -> host.kind() == HostEntry.Kind.DAEMON)
            .map(HostListParts::address)
            .toList());
    leavingUpstreams.accept(
        list.hosts().stream()
            .filter(host -> host.kind() == HostEntry.Kind.UPSTREAM)
            .filter(host -> host.state() == HostEntry.State.LEAVING)
            .map(HostListParts::address)
            .collect(Collectors.toSet()));
  }

  private static PeerAddress address(HostEntry host) {
    return new PeerAddress(host.address(), host.port());
  }
}
