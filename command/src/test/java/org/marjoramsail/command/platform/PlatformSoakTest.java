package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.daemon.assembly.SystemClock;

/** A short soak of daemons that are processes. */
@Timeout(240)
final class PlatformSoakTest {

  private static final long SEED = 2;
  private static final long PLANNED_WORK_SEED = 3;
  private static final long PATH_SEED = 5;
  private static final long STORE_LOSS_SEED = 12;
  private static final long ROUTES_SEED = 4;
  private static final long REPEATS_SEED = 1;
  private static final long PATH_MILLIS = 5;
  private static final double KEPT_PER_SECOND = 40;
  private static final long DEPARTURE_SEED = 8;
  private static final double LEAVING_PER_SECOND = 80;

  /** Guards against retries beyond the budget that only processes show, such as late grants. */
  @Test
  void daemonsThatAreProcessesBreakNoRuleWhileTheyAndTheirServersFail(@TempDir Path directory)
      throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(4, 3, 5, 3, 20, 10, 20, 15, 4, List.of(PlatformFault.values()));
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.faults()).isNotEmpty();
    }
  }

  /** Guards against responses lost by silence and against contents that crash server by server. */
  @Test
  void daemonsWaitForServersThatPauseAndRefuseContentsThatCrashServers(@TempDir Path directory)
      throws Exception {
    List<PlatformFault> faults =
        List.of(
            PlatformFault.SERVERS_PAUSE,
            PlatformFault.TIMEOUTS_CHANGED,
            PlatformFault.CRASHING_CONTENT);
    PlatformSoakSetup setup = new PlatformSoakSetup(3, 3, 5, 5, 20, 10, 20, 10, SEED, faults);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.faults()).hasSize(faults.size());
      assertThat(report.crashes().crashes()).isPositive();
    }
  }

  /**
   * Guards against a configuration with many routes that is not in force in time at a daemon,
   * beside restarts, a slow store, and daemons that are slow or cut from it.
   */
  @Test
  void daemonsHaveAddedAndDroppedRoutesInForceInTime(@TempDir Path directory) throws Exception {
    List<PlatformFault> faults =
        List.of(
            PlatformFault.ROUTES_CHANGED,
            PlatformFault.ROUTES_CHANGED,
            PlatformFault.ROUTES_CHANGED,
            PlatformFault.ROUTES_CHANGED,
            PlatformFault.DAEMON_KILL,
            PlatformFault.STORE_SLOW,
            PlatformFault.STORE_PATHS_CUT);
    PlatformSoakSetup setup = new PlatformSoakSetup(3, 2, 3, 3, 60, 6, 20, 30, ROUTES_SEED, faults);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.routes().outdated()).isEmpty();
      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.routes().judged()).isPositive();
    }
  }

  /**
   * Guards against requests to servers that leave while several daemons lose the store together.
   */
  @Test
  void daemonsThatLoseTheStoreTogetherSendNothingToServersThatHaveLeft(@TempDir Path directory)
      throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(
            3, 2, 3, 4, 60, 6, 80, 30, STORE_LOSS_SEED, List.of(PlatformFault.ZONE_LOSES_STORE));
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.draining().servers()).isPositive();
    }
  }

  /** Guards against responses that callers receive although they belong to another request. */
  @Test
  void callersOfServersThatRespondTwiceReceiveTheirOwnResponses(@TempDir Path directory)
      throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(
            3, 2, 3, 3, 60, 8, 60, 12, REPEATS_SEED, List.of(PlatformFault.RESPONSES_REPEATED));
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.responses().broken()).isEmpty();
      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.responses().met()).isPositive();
    }
  }

  /** Guards against work for callers that have left, which daemons that stand still read late. */
  @Test
  void daemonsThatStandStillDoNoWorkForCallersThatHaveLeft(@TempDir Path directory)
      throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(
                3,
                2,
                3,
                3,
                60,
                8,
                20,
                15,
                DEPARTURE_SEED,
                List.of(PlatformFault.DAEMON_PAUSE, PlatformFault.DAEMON_SLOW))
            .withLeavingCallers(LEAVING_PER_SECOND);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.departures().interrupted()).isPositive();
      assertThat(report.faults()).isNotEmpty();
    }
  }

  /** Guards against an end of a process that leaves calls without a response. */
  @Test
  void daemonsThatAreToldToStopLoseNoCall(@TempDir Path directory) throws Exception {
    PlatformSoakReport.Unanswered unanswered =
        soakOfPlannedWork(directory, List.of(PlatformFault.DAEMON_ROLL));

    assertThat(unanswered.stops()).isPositive();
    assertFewCallsCrossStops(unanswered);
  }

  /** Guards against calls that are broken off when settings or a configuration are read. */
  @Test
  void daemonsThatAreToldToReloadLoseNoCall(@TempDir Path directory) throws Exception {
    PlatformSoakReport.Unanswered unanswered =
        soakOfPlannedWork(
            directory,
            List.of(
                PlatformFault.DAEMON_ROLL,
                PlatformFault.DAEMON_RELOAD,
                PlatformFault.CONFIGURATION_SERIES));

    assertThat(unanswered.stops()).isPositive();
    assertThat(unanswered.reloads()).isPositive();
  }

  /** Guards against an end of a process that cuts off responses which are still on their way. */
  @Test
  void daemonsThatAreToldToStopLoseNoCallOfCallersOnALongerPath(@TempDir Path directory)
      throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(
                3, 2, 3, 3, 60, 8, 30, 10, PATH_SEED, List.of(PlatformFault.DAEMON_ROLL))
            .withConnections(PATH_MILLIS, KEPT_PER_SECOND);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      assertThat(report.unanswered().stops()).isPositive();
      assertFewCallsCrossStops(report.unanswered());
    }
  }

  private static void assertFewCallsCrossStops(PlatformSoakReport.Unanswered unanswered) {
    assertThat(unanswered.count(UnansweredCall.Phase.STOP, UnansweredCall.Reason.CROSSED))
        .as("calls that crossed the end of their connection: " + unanswered.crossed())
        .isLessThanOrEqualTo(unanswered.stops());
  }

  private static PlatformSoakReport.Unanswered soakOfPlannedWork(
      Path directory, List<PlatformFault> faults) throws Exception {
    PlatformSoakSetup setup =
        new PlatformSoakSetup(3, 2, 3, 3, 60, 8, 52, 25, PLANNED_WORK_SEED, faults);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      PlatformSoakReport report = new PlatformSoak(new SystemClock(), processes).run(setup);

      assertThat(report.isClean()).as(report.toString()).isTrue();
      return report.unanswered();
    }
  }
}
