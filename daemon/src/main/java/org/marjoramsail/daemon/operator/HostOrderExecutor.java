package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.daemon.configuration.Timers;
import org.marjoramsail.daemon.platform.HostEntry;
import org.marjoramsail.language.NearestName;
import org.marjoramsail.language.Order;

/**
 * Drains and returns hosts: those of daemons by telling the daemon, those of upstreams by one
 * change of the configuration.
 */
public final class HostOrderExecutor implements OrderExecutor {

  /** How long the answer waits until the daemon says that it is leaving, in milliseconds. */
  static final long PATIENCE_MILLIS = 2_000;

  private static final long LOOK_MILLIS = 100;

  private final Supplier<MembershipView> membership;
  private final Supplier<Configuration> configuration;
  private final Supplier<List<HostEntry>> hosts;
  private final OrderExecutor configurationOrders;
  private final PeerTransport transport;
  private final Runnable drainSelf;
  private final Timers timers;

  /**
   * Creates an instance with all that it needs.
   *
   * @param membership the daemons as they are known now
   * @param configuration the configuration in force
   * @param hosts the platform's list as it was heard last
   * @param configurationOrders drains and returns upstreams
   * @param transport sends to other daemons
   * @param drainSelf has this daemon hand over its shards
   * @param timers look whether the daemon says that it is leaving
   */
  public HostOrderExecutor(
      Supplier<MembershipView> membership,
      Supplier<Configuration> configuration,
      Supplier<List<HostEntry>> hosts,
      OrderExecutor configurationOrders,
      PeerTransport transport,
      Runnable drainSelf,
      Timers timers) {
    this.membership = membership;
    this.configuration = configuration;
    this.hosts = hosts;
    this.configurationOrders = configurationOrders;
    this.transport = transport;
    this.drainSelf = drainSelf;
    this.timers = timers;
  }

  @Override
  public Future<OrderOutcome> carryOut(OrderContext context, List<Order> orders) {
    Order.DrainHost order = (Order.DrainHost) orders.get(0);
    Optional<Member> daemon = daemon(order.host());
    if (daemon.isPresent()) {
      return drainDaemon(context, order, daemon.get());
    }
    List<Order> asChange = new ArrayList<>();
    for (UpstreamDefinition upstream : upstreamsOn(order.host())) {
      asChange.add(new Order.DrainUpstream(upstream.name(), order.isDrained()));
    }
    return asChange.isEmpty()
        ? Future.failedFuture(unknown(order.host()))
        : configurationOrders.carryOut(context, asChange);
  }

  private Optional<Member> daemon(String host) {
    return membership.get().members().stream()
        .filter(member -> member.state().isReachable())
        .filter(member -> member.id().host().equals(host))
        .max((one, other) -> one.id().compareTo(other.id()));
  }

  /** All servers at an IP number, or the one that the platform lists under a name. */
  private List<UpstreamDefinition> upstreamsOn(String host) {
    List<HostEntry> named =
        hosts.get().stream().filter(entry -> entry.name().equals(host)).toList();
    return configuration.get().upstreams().stream()
        .filter(
            upstream ->
                upstream.address().equals(host)
                    || named.stream().anyMatch(entry -> isAt(upstream, entry)))
        .toList();
  }

  private static boolean isAt(UpstreamDefinition upstream, HostEntry entry) {
    return upstream.address().equals(entry.address()) && upstream.port() == entry.port();
  }

  private Future<OrderOutcome> drainDaemon(
      OrderContext context, Order.DrainHost order, Member daemon) {
    if (!order.isDrained()) {
      return Future.failedFuture(
          new AdministrationException(
              AdministrationFailure.NOT_SUPPORTED,
              "A daemon that handed over takes no shards again; start it anew on host "
                  + order.host()
                  + ". Nothing was done."));
    }
    if (context.isDryRun()) {
      String detail = order.host() + " would hand over its shards and be not ready";
      return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.TRIED, List.of(detail)));
    }
    if (daemon.id().equals(membership.get().self().id())) {
      drainSelf.run();
    } else {
      transport.send(daemon.id(), new DrainHostMessage());
    }
    Promise<OrderOutcome> outcome = Promise.promise();
    look(outcome, order.host(), PATIENCE_MILLIS);
    return outcome.future();
  }

  private void look(Promise<OrderOutcome> outcome, String host, long leftMillis) {
    boolean isLeaving =
        daemon(host).filter(member -> member.state() == MemberState.LEAVING).isPresent();
    if (isLeaving) {
      String detail = host + " hands over its shards and is not ready";
      outcome.complete(OrderOutcome.of(OrderOutcome.State.DONE, List.of(detail)));
    } else if (leftMillis <= 0) {
      String detail = host + " was told and has not said that it is leaving; give the order again";
      outcome.complete(OrderOutcome.of(OrderOutcome.State.ACCEPTED, List.of(detail)));
    } else {
      timers.schedule(LOOK_MILLIS, () -> look(outcome, host, leftMillis - LOOK_MILLIS));
    }
  }

  private AdministrationException unknown(String host) {
    List<String> known = new ArrayList<>();
    membership.get().members().forEach(member -> known.add(member.id().host()));
    hosts.get().forEach(entry -> known.add(entry.name()));
    return OperatorProblems.of(
        AdministrationFailure.NOT_FOUND,
        "host",
        host,
        "the host of a daemon, or an IP number or a listed name of a server",
        NearestName.of(host, known));
  }
}
