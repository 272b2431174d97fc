package org.marjoramsail.command.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.command.fleet.FleetDaemonFactory;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.LocalFleet;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.LoadListener;
import org.marjoramsail.standin.load.LoadRunner;
import org.marjoramsail.standin.load.LoadRunnerOptions;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.RequestOutcome;
import org.marjoramsail.standin.load.StandInResponses;
import org.marjoramsail.standin.load.Workload;

/** Runs one workload against a local fleet of its own while faults happen to it. */
public final class SoakRun {

  private static final long STEP_SECONDS = 120;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** A daemon that pauses answers so much later. */
  private static final long GRACE_MILLIS = 10_000;

  /** Within so long after the end nothing may be held any more, also of daemons that died. */
  private static final long SETTLE_MILLIS = 5_000;

  private static final int LANES = 2;
  private static final int CONNECTIONS = 1_000;

  private final Clock clock;
  private final FleetDaemonFactory factory;

  /** Creates an instance with the time and what starts daemons. */
  public SoakRun(Clock clock, FleetDaemonFactory factory) {
    this.clock = clock;
    this.factory = factory;
  }

  /**
   * Starts a fleet, sends the workload while faults happen, waits until all has settled, stops the
   * fleet and judges.
   *
   * @throws FleetException when the fleet does not start, run or stop in time
   */
  public SoakReport run(SoakSetup setup, LoadListener listener) throws FleetException {
    Vertx vertx = Vertx.vertx();
    LogWatch watch = LogWatch.begin();
    try {
      return SoakJudge.judge(run(vertx, setup, listener, watch));
    } finally {
      watch.end();
      FleetRun.await("close", vertx.close(), STEP_SECONDS);
    }
  }

  private SoakRecord run(Vertx vertx, SoakSetup setup, LoadListener listener, LogWatch watch)
      throws FleetException {
    LocalFleet fleet = new LocalFleet(vertx, clock, setup.fleet(), factory);
    FleetRun.await("start", fleet.start(), STEP_SECONDS);
    fleet
        .engines()
        .forEach(engine -> engine.crashOnPromptContaining(Optional.of(PoisonCaller.MARKER)));
    List<PlannedRequest> requests = Workload.plan(setup.workload());
    List<PlannedFault> faults = plan(setup);
    long start = clock.millis();
    SideLoad side =
        new SideLoad(vertx, clock, new StandInResponses(), start, GRACE_MILLIS, fleet.targets());
    Resender resender = new Resender(vertx, side);
    PoisonCaller poison = new PoisonCaller(side, setup.workload().mix());
    resender.start();
    int prefillEngines = setup.fleet().deployment().servers().prefillEngines();
    Future<Void> played =
        new FaultPlayer(vertx, new Stage(fleet, prefillEngines, poison)).play(faults);
    long base = clock.millis() - start;
    LoadListener both =
        outcome -> {
          listener.ended(outcome);
          resender.observed(new Observation(base, outcome));
        };
    long seconds = setup.workload().durationMillis() / MILLIS_PER_SECOND + STEP_SECONDS;
    List<RequestOutcome> outcomes =
        FleetRun.await("run", runner(vertx).run(fleet.targets(), requests, both), seconds);
    FleetRun.await("end the faults", played, seconds);
    List<Observation> resent = FleetRun.await("send again", resender.finish(), STEP_SECONDS);
    List<Observation> poisoned = FleetRun.await("end the poison", poison.finish(), STEP_SECONDS);
    FleetAudit audit = FleetRun.await("settle", fleet.audit(SETTLE_MILLIS), STEP_SECONDS);
    SoakRecord record =
        new SoakRecord(
            faults,
            outcomes.stream().map(outcome -> new Observation(base, outcome)).toList(),
            resent,
            poisoned,
            poison.prompts(),
            audit,
            fleet.engines().stream().map(EngineStandIn::audit).toList(),
            fleet.daemonViolations(),
            watch.unhandled(),
            setup.workload().durationMillis());
    FleetRun.await("stop", fleet.stop(), STEP_SECONDS);
    return record;
  }

  private static List<PlannedFault> plan(SoakSetup setup) {
    return FaultPlan.draw(
        setup.fleet().deployment(),
        setup.fleet().daemons(),
        setup.workload().seed(),
        setup.workload().durationMillis(),
        setup.kinds());
  }

  private LoadRunner runner(Vertx vertx) {
    return new LoadRunner(
        vertx,
        clock,
        new StandInResponses(),
        new LoadRunnerOptions(LANES, 0, GRACE_MILLIS, CONNECTIONS));
  }
}
