package org.marjoramsail.daemon.assembly;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationService;
import org.marjoramsail.daemon.configuration.Timers;
import org.marjoramsail.daemon.membership.MembershipService;
import org.marjoramsail.daemon.operator.Administration;
import org.marjoramsail.daemon.operator.AdministrationServer;
import org.marjoramsail.daemon.operator.ConfigurationOrders;
import org.marjoramsail.daemon.operator.DrainHostMessage;
import org.marjoramsail.daemon.operator.EngineOrderExecutor;
import org.marjoramsail.daemon.operator.FleetQueries;
import org.marjoramsail.daemon.operator.Health;
import org.marjoramsail.daemon.operator.HostOrderExecutor;
import org.marjoramsail.daemon.operator.LiftQuarantineMessage;
import org.marjoramsail.daemon.operator.LocalQueries;
import org.marjoramsail.daemon.operator.LocalState;
import org.marjoramsail.daemon.operator.ObjectApiAuditLog;
import org.marjoramsail.daemon.operator.OperatorListener;
import org.marjoramsail.daemon.operator.PeerFleetQueries;
import org.marjoramsail.daemon.operator.QuarantineOrderExecutor;
import org.marjoramsail.daemon.operator.StoredFacts;
import org.marjoramsail.daemon.peer.PeerNetwork;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.TlsSettings;
import org.marjoramsail.language.OrderTarget;

/** The parts that serve operators. */
final class OperatorParts {

  /** How long the answer to a change waits until it is in force on all daemons. */
  private static final long IN_FORCE_PATIENCE_MILLIS = 2_000;

  /** What operators may have done to the daemon itself. */
  interface Control extends Health {

    /** Has it hand over its shards; it is not ready from then on. */
    void drain();

    /** Clears a content here and tells the others; false when there is nothing to clear. */
    boolean lift(long fingerprint);
  }

  private final PeerFleetQueries queries;
  private final Control control;
  private final AdministrationServer server;

  OperatorParts(
      Vertx vertx,
      Settings settings,
      DaemonId self,
      Control control,
      LocalState state,
      StoredFacts stored,
      HostListParts hosts,
      ConfigurationService configuration,
      MembershipService membership,
      PeerNetwork network,
      ObjectApi store,
      Timers timers,
      Supplier<String> metrics,
      Clock clock,
      MeterRegistry meters) {
    this.control = control;
    this.queries = new PeerFleetQueries(new LocalQueries(state), membership::view, network, timers);
    FleetQueries questions = stored.before(queries);
    ConfigurationOrders changes =
        new ConfigurationOrders(configuration, revision -> inForce(configuration, revision));
    Administration administration =
        new Administration(
            questions,
            changes,
            Map.of(
                OrderTarget.ENGINE,
                new EngineOrderExecutor(store, configuration::current, changes),
                OrderTarget.HOST,
                new HostOrderExecutor(
                    membership::view,
                    configuration::current,
                    hosts::hosts,
                    changes,
                    network,
                    control::drain,
                    timers),
                OrderTarget.QUARANTINE,
                new QuarantineOrderExecutor(control::lift, queries, membership::view, network)),
            new ObjectApiAuditLog(store, self, timers, meters),
            self.host(),
            clock,
            meters);
    AtomicLong orders = new AtomicLong();
    this.server =
        new AdministrationServer(
            vertx,
            listener(settings),
            settings.administration(),
            administration,
            metrics,
            control,
            () ->
                new OrderId(
                    self.host() + "-" + self.incarnation() + "-" + orders.incrementAndGet()),
            clock,
            meters);
  }

  Future<Integer> start() {
    return server.start();
  }

  Future<Void> stop() {
    return server.stop();
  }

  /** Handles what other daemons ask and tell for operators. */
  void heard(DaemonId from, PeerMessage message) {
    if (message instanceof DrainHostMessage) {
      control.drain();
    } else if (message instanceof LiftQuarantineMessage lift) {
      control.lift(lift.fingerprint());
    } else {
      queries.handle(from, message);
    }
  }

  private static Future<InForceReport> inForce(ConfigurationService configuration, long revision) {
    return configuration.inForce(revision, IN_FORCE_PATIENCE_MILLIS);
  }

  private static OperatorListener listener(Settings settings) {
    Optional<TlsSettings.KeyFiles> keys = settings.tls().flatMap(TlsSettings::operator);
    long reloadMillis = settings.tls().map(TlsSettings::reloadMillis).orElse(0L);
    return new OperatorListener(settings.listen().operator(), keys, reloadMillis);
  }
}
