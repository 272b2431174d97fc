package org.marjoramsail.command.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.command.fleet.Deployment;
import org.marjoramsail.command.fleet.FleetSetup;
import org.marjoramsail.command.fleet.RuntimeDaemons;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.standin.engine.EngineTimings;
import org.marjoramsail.standin.load.ArrivalShape;
import org.marjoramsail.standin.load.PromptLengths;
import org.marjoramsail.standin.load.RequestMix;
import org.marjoramsail.standin.load.WorkloadDefinition;

final class SoakRunTest {

  private static final int DAEMONS = 3;
  private static final long DURATION_MILLIS = 5_000;
  private static final double REQUESTS_PER_SECOND = 12;
  private static final long SEED = 5;

  /**
   * Daemons die and pause, engines crash, plain services lose answers and the store is away while
   * callers go on. Whatever happens, no caller may be answered wrongly, twice or not at all,
   * nothing that may run only once runs twice, and engines hold nothing at the end.
   */
  @Test
  void aShortSoakWithAllFaultsBreaksNoInvariant() throws Exception {
    SoakReport report =
        new SoakRun(new SystemClock(), new RuntimeDaemons()).run(setup(), outcome -> {});

    assertThat(report.isClean()).as(SoakReportText.of(report)).isTrue();
    assertThat(report.faults()).isNotEmpty();
  }

  private static SoakSetup setup() {
    FleetSetup fleet =
        new FleetSetup(Deployment.ROSARIO, DAEMONS, "reserve", SEED, EngineTimings.defaults());
    WorkloadDefinition workload =
        new WorkloadDefinition(
            RequestMix.ROSARIO,
            ArrivalShape.STEADY,
            SEED,
            DURATION_MILLIS,
            REQUESTS_PER_SECOND,
            1,
            PromptLengths.assumed());
    return new SoakSetup(fleet, workload, List.of(SoakFault.values()));
  }
}
