package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.LoadListener;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.LoadRunner;
import org.marjoramsail.standin.load.LoadRunnerOptions;
import org.marjoramsail.standin.load.LoadTarget;
import org.marjoramsail.standin.load.RequestOutcome;
import org.marjoramsail.standin.load.StandInResponses;
import org.marjoramsail.standin.load.Workload;
import org.marjoramsail.standin.load.WorkloadDefinition;

/** Runs one workload against a local fleet of its own, from start to stop. */
public final class FleetRun {

  private static final long START_SECONDS = 60;
  private static final long AFTER_LAST_SECONDS = 120;
  private static final long SETTLE_MILLIS = 5_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private final FleetDaemonFactory factory;

  /** Creates an instance with the time and what starts daemons. */
  public FleetRun(Clock clock, FleetDaemonFactory factory) {
    this.clock = clock;
    this.factory = factory;
  }

  /**
   * Starts a fleet, sends the workload, waits until the engines hold nothing, and stops the fleet.
   *
   * @throws FleetException when the fleet does not start, run or stop in time
   */
  public LoadReport run(FleetSetup setup, WorkloadDefinition workload, LoadListener listener)
      throws FleetException {
    Vertx vertx = Vertx.vertx();
    try {
      return run(vertx, setup, workload, listener);
    } finally {
      await("close", vertx.close(), START_SECONDS);
    }
  }

  private LoadReport run(
      Vertx vertx, FleetSetup setup, WorkloadDefinition workload, LoadListener listener)
      throws FleetException {
    LocalFleet fleet = new LocalFleet(vertx, clock, setup, factory);
    await("start", fleet.start(), START_SECONDS);
    List<RequestOutcome> warmUp = warmUp(vertx, fleet, setup, workload);
    FleetAudit before = await("settle", fleet.audit(SETTLE_MILLIS), START_SECONDS);
    FaultSchedule faults = new FaultSchedule(vertx, fleet, setup);
    List<LoadTarget> targets = faults.targets();
    faults.start();
    List<RequestOutcome> outcomes = send("run", vertx, targets, workload, listener);
    faults.stop();
    FleetAudit audit = await("settle", fleet.audit(SETTLE_MILLIS), START_SECONDS);
    await("stop", fleet.stop(), START_SECONDS);
    return LoadReport.of(outcomes, warmUp, audit.since(before), workload.durationMillis());
  }

  private List<RequestOutcome> warmUp(
      Vertx vertx, LocalFleet fleet, FleetSetup setup, WorkloadDefinition workload)
      throws FleetException {
    if (setup.warmUpMillis() == 0) {
      return List.of();
    }
    WorkloadDefinition before = workload.warmUp(setup.warmUpMillis());
    return send("warm-up", vertx, fleet.targets(), before, outcome -> {});
  }

  private List<RequestOutcome> send(
      String phase,
      Vertx vertx,
      List<LoadTarget> targets,
      WorkloadDefinition workload,
      LoadListener listener)
      throws FleetException {
    LoadRunner runner =
        new LoadRunner(vertx, clock, new StandInResponses(), LoadRunnerOptions.standard());
    long seconds = workload.durationMillis() / MILLIS_PER_SECOND + AFTER_LAST_SECONDS;
    return await(phase, runner.run(targets, Workload.plan(workload), listener), seconds);
  }

  /**
   * Waits for a step of a run.
   *
   * @param phase what the step does, for the fault
   * @throws FleetException when it fails or is not done in time
   */
  public static <T> T await(String phase, Future<T> future, long seconds) throws FleetException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(seconds, TimeUnit.SECONDS);
    } catch (ExecutionException failure) {
      throw new FleetException(phase, failure.getCause());
    } catch (TimeoutException failure) {
      throw new FleetException(phase + " within " + seconds + " s", failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new FleetException(phase, failure);
    }
  }
}
