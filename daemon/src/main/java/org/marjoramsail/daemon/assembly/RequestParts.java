package org.marjoramsail.daemon.assembly;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.PlacementService;
import org.marjoramsail.core.placement.PrefixHasher;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.caller.CallerBinding;
import org.marjoramsail.daemon.caller.CallerLimits;
import org.marjoramsail.daemon.caller.CallerPeers;
import org.marjoramsail.daemon.caller.CallerServer;
import org.marjoramsail.daemon.caller.PromptAnalysis;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.request.ClaimGate;
import org.marjoramsail.daemon.request.OutcomeRules;
import org.marjoramsail.daemon.request.RequestPeers;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.LimitSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.PlainClient;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;
import org.marjoramsail.daemon.upstream.UpstreamHttp;
import org.marjoramsail.daemon.upstream.UpstreamLimits;

/** The parts that take a request from its caller to its upstreams. */
final class RequestParts {

  /** How many blocks of a prompt are hashed for placement; longer prefixes count as these. */
  private static final int MAXIMUM_PREFIX_BLOCKS = 64;

  private static final long CRASH_LIFETIME_MILLIS = 600_000;
  private static final long CRASH_SETTLE_MILLIS = 2_000;
  private static final int MAXIMUM_SUSPECTS = 10_000;
  private static final int RETRY_RESERVE = 40;

  final UpstreamDirectory directory;
  final EngineClient engines;
  final PlainClient plainServices;
  final Quarantine quarantine;
  final RequestRegistry registry;
  final CallerServer callers;

  RequestParts(
      Vertx vertx,
      Settings settings,
      DaemonId self,
      Supplier<Configuration> configuration,
      PlacementService placement,
      ClaimGate claims,
      Invariants invariants,
      Clock clock,
      RandomGenerator random,
      MeterRegistry meters) {
    ObjectMapper json = new ObjectMapper();
    UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
    this.directory = new UpstreamDirectory(configuration);
    this.engines = new EngineClient(http, json);
    this.plainServices = new PlainClient(http, json);
    this.quarantine = new Quarantine(CRASH_LIFETIME_MILLIS, CRASH_SETTLE_MILLIS, MAXIMUM_SUSPECTS);
    RequestMetrics metrics = new RequestMetrics(meters, invariants);
    this.registry =
        new RequestRegistry(
            new RequestPeers(placement, claims, engines, plainServices, directory),
            new OutcomeRules(LifecyclePolicy.defaults(), quarantine, invariants, RETRY_RESERVE),
            metrics,
            clock,
            (delay, task) -> vertx.setTimer(Math.max(1, delay), timer -> task.run()),
            random);
    Endpoint listen = settings.listen().caller();
    this.callers =
        new CallerServer(
            vertx,
            new CallerBinding(listen.address(), listen.port(), settings.limits().threads()),
            callerLimits(settings.limits()),
            new CallerPeers(
                self, configuration, registry, RequestParts::analyse, metrics, clock, json));
  }

  private static PromptAnalysis.PromptFacts analyse(String prompt) {
    return new PromptAnalysis.PromptFacts(
        PrefixHasher.tokenCount(prompt), PrefixHasher.hashes(prompt, MAXIMUM_PREFIX_BLOCKS));
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
