package org.marjoramsail.daemon.assembly;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.placement.PlacementService;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.caller.CallerBinding;
import org.marjoramsail.daemon.caller.CallerDependencies;
import org.marjoramsail.daemon.caller.CallerLimits;
import org.marjoramsail.daemon.caller.CallerServer;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.request.ClaimGate;
import org.marjoramsail.daemon.request.LifecycleDependencies;
import org.marjoramsail.daemon.request.RequestDependencies;
import org.marjoramsail.daemon.request.RequestLog;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.daemon.request.UpstreamClients;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.LimitSettings;
import org.marjoramsail.daemon.settings.Settings;

/** The parts that take a request from its caller to its upstreams. */
final class RequestParts {

  final RequestRegistry registry;
  final CallerServer callers;
  final RequestMetrics metrics;

  RequestParts(
      Vertx vertx,
      Settings settings,
      DaemonId self,
      Supplier<Configuration> configuration,
      PlacementService placement,
      ClaimGate claims,
      UpstreamParts upstreams,
      Consumer<UpstreamDefinition> probe,
      LifecycleDependencies lifecycles,
      Clock clock,
      RandomGenerator random,
      ObjectMapper json,
      MeterRegistry meters) {
    this.metrics = new RequestMetrics(meters, lifecycles.invariants());
    this.registry =
        new RequestRegistry(
            new RequestDependencies(placement, claims),
            lifecycles,
            metrics,
            new RequestLog(() -> "configuration " + configuration.get().revision()),
            clock,
            (delay, task) -> vertx.setTimer(Math.max(1, delay), timer -> task.run()),
            random);
    Endpoint listen = settings.listen().caller();
    this.callers =
        new CallerServer(
            vertx,
            new CallerBinding(listen.address(), listen.port(), settings.limits().threads()),
            callerLimits(settings.limits()),
            new CallerDependencies(
                self,
                configuration,
                registry,
                metrics,
                clock,
                json,
                LifecyclePolicy.defaults(),
                new UpstreamClients(
                    upstreams.engines, upstreams.plainServices, upstreams.directory, probe)));
  }

  private static CallerLimits callerLimits(LimitSettings limits) {
    CallerLimits defaults = CallerLimits.defaults();
    return new CallerLimits(
        limits.connections(),
        limits.headerBytes(),
        Math.toIntExact(limits.bodyBytes()),
        limits.callerIdleMillis(),
        limits.callerIdleMillis(),
        defaults.maximumBufferedBytes(),
        limits.callerIdleMillis(),
        defaults.maximumOutputTokens(),
        defaults.defaultOutputTokens());
  }
}
