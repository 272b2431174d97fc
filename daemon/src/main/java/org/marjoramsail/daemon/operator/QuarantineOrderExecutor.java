package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.language.Condition;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.Subject;

/**
 * Clears a content or a prompt part on all daemons. If it is not stored on this daemon, the order
 * is sent to a daemon on which it is.
 */
public final class QuarantineOrderExecutor implements OrderExecutor {

  private final LongPredicate lift;
  private final FleetQueries queries;
  private final Supplier<MembershipView> membership;
  private final PeerTransport transport;

  /**
   * Creates an instance with all that it needs.
   *
   * @param lift clears a content or a part on this daemon and, by message, on the others; false
   *     when there is nothing to clear
   * @param queries finds the daemons that store it
   * @param membership the daemons as they are known now
   * @param transport sends to one of them
   */
  public QuarantineOrderExecutor(
      LongPredicate lift,
      FleetQueries queries,
      Supplier<MembershipView> membership,
      PeerTransport transport) {
    this.lift = lift;
    this.queries = queries;
    this.membership = membership;
    this.transport = transport;
  }

  @Override
  public Future<OrderOutcome> carryOut(OrderContext context, List<Order> orders) {
    String fingerprint = ((Order.LiftQuarantine) orders.get(0)).fingerprint();
    return hostsWith(Subject.QUARANTINE, fingerprint)
        .compose(
            hosts ->
                hosts.isEmpty()
                    ? hostsWith(Subject.PARTS, fingerprint)
                    : Future.succeededFuture(hosts))
        .compose(hosts -> carryOut(context, fingerprint, hosts));
  }

  /** Returns the hosts of the daemons that list a fingerprint. */
  private Future<List<String>> hostsWith(Subject subject, String fingerprint) {
    OperatorQueryMessage question =
        new OperatorQueryMessage(
            0,
            subject,
            Optional.empty(),
            List.of(new Condition("fingerprint", Condition.Comparison.EQUAL, fingerprint)),
            Optional.empty(),
            Administration.MOST_ROWS);
    return queries.ask(question).map(table -> table.cellsOf("host"));
  }

  private Future<OrderOutcome> carryOut(
      OrderContext context, String fingerprint, List<String> hosts) {
    if (hosts.isEmpty()) {
      return Future.failedFuture(
          OperatorProblems.of(
              AdministrationFailure.NOT_FOUND,
              "fingerprint",
              fingerprint,
              "one that show quarantine or show parts lists",
              Optional.empty()));
    }
    if (context.isDryRun()) {
      String detail = fingerprint + " would be cleared on all daemons";
      return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.TRIED, List.of(detail)));
    }
    long number = HexFormat.fromHexDigitsToLong(fingerprint);
    if (!lift.test(number)) {
      daemon(hosts.get(0))
          .ifPresent(daemon -> transport.send(daemon, new LiftQuarantineMessage(number)));
    }
    String detail = fingerprint + " is cleared, and all daemons are told";
    return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.ACCEPTED, List.of(detail)));
  }

  private Optional<DaemonId> daemon(String host) {
    return membership.get().members().stream()
        .filter(member -> member.state().isReachable())
        .map(Member::id)
        .filter(id -> id.host().equals(host))
        .findFirst();
  }
}
