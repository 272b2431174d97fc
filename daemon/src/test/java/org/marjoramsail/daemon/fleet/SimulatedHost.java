package org.marjoramsail.daemon.fleet;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.core.outcome.KvSource;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.request.AttemptSender;
import org.marjoramsail.daemon.request.CallerSink;
import org.marjoramsail.daemon.request.OpenCall;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** One run of a daemon, with its request and placement code. */
final class SimulatedHost {

  private final DaemonId id;
  private final DistributedPlacement placement;
  private final RequestRegistry registry;
  private boolean running = true;
  private long pausedUntilMillis;

  SimulatedHost(DaemonId id, DistributedPlacement placement, RequestRegistry registry) {
    this.id = id;
    this.placement = placement;
    this.registry = registry;
  }

  DaemonId id() {
    return id;
  }

  DistributedPlacement placement() {
    return placement;
  }

  RequestRegistry registry() {
    return registry;
  }

  boolean isRunning() {
    return running;
  }

  void stop() {
    running = false;
  }

  /** Lets the process handle nothing until a time. */
  void pauseUntil(long millis) {
    pausedUntilMillis = millis;
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  /** Runs an action now, or when the pause of the process ends. */
  void whenAwake(FleetSimulation simulation, Runnable action) {
    if (isPaused(simulation.now())) {
      simulation.at(pausedUntilMillis, () -> whenAwake(simulation, action));
    } else if (running) {
      action.run();
    }
  }

  /** The upstreams' and the caller's side of one request. */
  static final class Exchange implements AttemptSender, CallerSink {

    private final FleetSimulation simulation;
    private final SimulatedHost host;
    private final RequestProfile profile;
    private final String request;
    private final Consumer<Boolean> ended;
    private final Set<Integer> failedAttempts = new HashSet<>();

    /**
     * Creates the exchange.
     *
     * @param request the request, as its caller identifies it
     * @param ended receives whether the caller was served
     */
    Exchange(
        FleetSimulation simulation,
        SimulatedHost host,
        RequestProfile profile,
        String request,
        Consumer<Boolean> ended) {
      this.simulation = simulation;
      this.host = host;
      this.profile = profile;
      this.request = request;
      this.ended = ended;
    }

    @Override
    public Optional<OpenCall> sendPrefill(
        LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
      return call(
          SimulatedUpstream.CallKind.PREFILL,
          send.upstream(),
          send.attempt(),
          Optional.empty(),
          0,
          events);
    }

    @Override
    public Optional<OpenCall> sendDecode(
        LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
      return call(
          SimulatedUpstream.CallKind.DECODE,
          send.upstream(),
          send.attempt(),
          send.kv().map(KvSource::holder),
          send.startIndex(),
          events);
    }

    @Override
    public Optional<OpenCall> sendPlain(
        LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
      return call(
          SimulatedUpstream.CallKind.PLAIN,
          send.upstream(),
          send.attempt(),
          Optional.empty(),
          0,
          events);
    }

    private Optional<OpenCall> call(
        SimulatedUpstream.CallKind kind,
        UpstreamName upstream,
        int attempt,
        Optional<UpstreamName> kvHolder,
        int firstToken,
        Consumer<LifecycleEvent> events) {
      SimulatedUpstream.Parameters parameters =
          new SimulatedUpstream.Parameters(
              kind,
              host,
              request,
              profile.id(),
              attempt,
              kvHolder,
              firstToken,
              profile.outputTokens(),
              event -> host.whenAwake(simulation, () -> delivered(event, events)));
      return Optional.of(simulation.upstream(upstream).call(parameters));
    }

    private void delivered(LifecycleEvent event, Consumer<LifecycleEvent> events) {
      if (event instanceof LifecycleEvent.FailureResponseReceived failure) {
        failedAttempts.add(failure.attempt());
      }
      events.accept(event);
    }

    @Override
    public void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
      events.accept(new LifecycleEvent.CancelConfirmed(cancel.attempt(), cancel.upstream()));
    }

    @Override
    public void deliver(int attempt) {
      ended.accept(!failedAttempts.contains(attempt));
    }

    @Override
    public void token(int attempt, int index, String text) {
      // Only the end of the output is counted.
    }

    @Override
    public void complete(Completion completion) {
      ended.accept(true);
    }

    @Override
    public void respond(PlainResponse response) {
      ended.accept(true);
    }

    @Override
    public void refuse(Refusal refusal) {
      simulation.refused(refusal.reason());
      ended.accept(false);
    }
  }
}
