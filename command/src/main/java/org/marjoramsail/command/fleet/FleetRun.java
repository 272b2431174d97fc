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
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.RequestOutcome;
import org.marjoramsail.standin.load.StandInAnswers;
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

  /** Takes the time and what starts daemons. */
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
    List<PlannedRequest> requests = Workload.plan(workload);
    LoadRunner runner =
        new LoadRunner(vertx, clock, new StandInAnswers(), LoadRunnerOptions.standard());
    long runSeconds = workload.durationMillis() / MILLIS_PER_SECOND + AFTER_LAST_SECONDS;
    List<RequestOutcome> outcomes =
        await("run", runner.run(fleet.targets(), requests, listener), runSeconds);
    FleetAudit audit = await("settle", fleet.audit(SETTLE_MILLIS), START_SECONDS);
    await("stop", fleet.stop(), START_SECONDS);
    return LoadReport.of(outcomes, audit, workload.durationMillis());
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
