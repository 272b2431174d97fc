package org.marjoramsail.daemon.assembly;

import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrderRecord;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.LifecycleState;
import org.marjoramsail.core.outcome.PartEntry;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.QuarantineEntry;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationService;
import org.marjoramsail.daemon.membership.MembershipService;
import org.marjoramsail.daemon.operator.EngineOrderView;
import org.marjoramsail.daemon.operator.LocalState;
import org.marjoramsail.daemon.operator.PartView;
import org.marjoramsail.daemon.operator.QuarantineView;
import org.marjoramsail.daemon.operator.RequestView;
import org.marjoramsail.daemon.operator.RevisionView;
import org.marjoramsail.daemon.operator.StoredFacts;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.request.TraceStep;

/** What operators may ask of the parts of one daemon. */
final class RuntimeState implements LocalState {

  private final RequestParts requests;
  private final DistributedPlacement placement;
  private final MembershipService membership;
  private final ConfigurationService configuration;
  private final LongSupplier configuredAtMillis;
  private final Quarantine quarantine;
  private final StoredFacts stored;
  private final Clock clock;

  RuntimeState(
      RequestParts requests,
      DistributedPlacement placement,
      MembershipService membership,
      ConfigurationService configuration,
      LongSupplier configuredAtMillis,
      Quarantine quarantine,
      StoredFacts stored,
      Clock clock) {
    this.requests = requests;
    this.placement = placement;
    this.membership = membership;
    this.configuration = configuration;
    this.configuredAtMillis = configuredAtMillis;
    this.quarantine = quarantine;
    this.stored = stored;
    this.clock = clock;
  }

  @Override
  public List<RequestView> requests() {
    return requests.registry.snapshots().stream().map(RuntimeState::view).toList();
  }

  @Override
  public Optional<RequestView> request(RequestId request) {
    return requests.registry.snapshot(request).map(RuntimeState::view);
  }

  @Override
  public List<ShardView> shards() {
    return placement.viewsWithIdleShards();
  }

  @Override
  public MembershipView membership() {
    return membership.view();
  }

  @Override
  public Configuration configuration() {
    return configuration.current();
  }

  @Override
  public RevisionView revision() {
    return new RevisionView(
        configuration.current().revision(),
        configuration.source().name().toLowerCase(Locale.ROOT),
        clock.millis() - configuredAtMillis.getAsLong());
  }

  @Override
  public List<OrderRecord> history() {
    return stored.history();
  }

  @Override
  public Map<RefusalReason, Long> refusals() {
    return requests.metrics.refusals();
  }

  @Override
  public Map<RetryReason, Long> retries() {
    return requests.metrics.retries();
  }

  @Override
  public List<QuarantineView> quarantine() {
    return quarantine.list(clock.millis()).stream().map(RuntimeState::view).toList();
  }

  @Override
  public List<PartView> parts() {
    return quarantine.parts(clock.millis()).stream().map(RuntimeState::view).toList();
  }

  @Override
  public List<EngineOrderView> engineOrders() {
    return stored.engineOrders();
  }

  @Override
  public long wallClockMillis() {
    return clock.millis();
  }

  private static QuarantineView view(QuarantineEntry entry) {
    return new QuarantineView(
        HexFormat.of().toHexDigits(entry.fingerprint()),
        entry.suspicion().name().toLowerCase(Locale.ROOT),
        entry.crashes(),
        DaemonRuntime.CRASH_LIFETIME_MILLIS - entry.expiresInMillis());
  }

  private static PartView view(PartEntry entry) {
    return new PartView(
        HexFormat.of().toHexDigits(entry.fingerprint()),
        entry.id(),
        entry.suspicion().name().toLowerCase(Locale.ROOT),
        entry.crashes(),
        DaemonRuntime.CRASH_LIFETIME_MILLIS - entry.expiresInMillis());
  }

  private static RequestView view(org.marjoramsail.daemon.request.RequestSnapshot view) {
    return new RequestView(
        view.request(),
        view.organisation(),
        view.service(),
        view.rule(),
        view.serviceClass(),
        stateOf(view.state()),
        view.attempt(),
        view.ageMillis(),
        view.steps().stream().map(RuntimeState::step).toList());
  }

  private static RequestView.State stateOf(LifecycleState state) {
    return switch (state) {
      case RECEIVED, CLAIMING -> RequestView.State.CLAIMING;
      case PLACING, BACKING_OFF -> RequestView.State.WAITING;
      case PREFILLING, PLAIN_RUNNING -> RequestView.State.RUNNING;
      case GENERATING -> RequestView.State.ANSWERING;
      case ENDED -> RequestView.State.ENDED;
    };
  }

  private static RequestView.Step step(TraceStep step) {
    StringBuilder detail = new StringBuilder();
    if (step.attempt() > 0) {
      detail.append("attempt ").append(step.attempt());
    }
    step.upstream().ifPresent(upstream -> detail.append(" on ").append(upstream));
    step.reason().ifPresent(reason -> detail.append(", ").append(reason));
    return new RequestView.Step(step.afterMillis(), step.kind().code(), detail.toString().strip());
  }
}
