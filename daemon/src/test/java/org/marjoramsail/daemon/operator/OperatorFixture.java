package org.marjoramsail.daemon.operator;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.configuration.ChangeAcceptance;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.daemon.configuration.FakeStore;
import org.marjoramsail.daemon.configuration.FakeTimers;
import org.marjoramsail.daemon.settings.OperatorRole;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.OrderTarget;

/** The interface for operators over fakes, with the configuration of an example. */
final class OperatorFixture {

  record Sent(DaemonId to, PeerMessage message) {}

  static final OperatorIdentity ADMINISTRATOR =
      new OperatorIdentity("ana", OperatorRole.ADMINISTRATOR, Optional.empty());

  final FakeStore store = new FakeStore();
  final ManualClock clock = new ManualClock(1_000);
  final FakeTimers timers = new FakeTimers(clock);
  final FakeLocalState state = new FakeLocalState();
  final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  final List<Sent> sent = new ArrayList<>();
  final List<AuditRecord> audit = new ArrayList<>();
  final List<Order> carriedOut = new ArrayList<>();
  final PeerFleetQueries queries =
      new PeerFleetQueries(
          new LocalQueries(state),
          state::membership,
          (to, message) -> sent.add(new Sent(to, message)),
          timers);
  final Administration administration =
      new Administration(
          queries,
          new ConfigurationOrders(
              new ChangeAcceptance(store, clock, clock, new Random(1), timers, () -> 0, meters),
              OperatorFixture::inForce),
          Map.of(
              OrderTarget.ENGINE, this::carryOut,
              OrderTarget.HOST, this::carryOut,
              OrderTarget.QUARANTINE, this::carryOut),
          audit::add,
          "entry-1",
          clock,
          meters);
  private int orders;

  OperatorFixture() throws Exception {
    String text =
        Files.readString(Path.of("..", "examples", "cabildo-abierto", "configuration.json"));
    Configuration configuration = ConfigurationFormat.fromText(text, Configuration.class);
    ConfigurationRoot root = new ConfigurationRoot(configuration, List.of());
    store.create("configurations", "root", ConfigurationFormat.toTree(root));
  }

  private Future<OrderOutcome> carryOut(OrderContext context, List<Order> given) {
    carriedOut.addAll(given);
    return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.DONE, List.of()));
  }

  private static Future<InForceReport> inForce(long revision) {
    InForceReport.Lagging lagging = new InForceReport.Lagging("entry-2", Optional.of(revision - 1));
    return Future.succeededFuture(new InForceReport(revision, 1, 2, List.of(lagging)));
  }

  OrderId nextOrder() {
    orders++;
    return new OrderId("order-" + orders);
  }

  Future<StatementResponse> run(OperatorIdentity operator, String text) {
    return administration.run(operator, text, false, nextOrder(), Optional.empty());
  }

  Configuration stored() throws IOException {
    try {
      return ConfigurationFormat.fromTree(
              store.find("configurations", "root").orElseThrow().spec(), ConfigurationRoot.class)
          .configuration();
    } catch (ConfigurationFormatException failure) {
      throw new IOException(failure);
    }
  }
}
