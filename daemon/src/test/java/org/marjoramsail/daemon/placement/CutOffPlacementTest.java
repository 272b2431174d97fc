package org.marjoramsail.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementService;

final class CutOffPlacementTest {

  private static final UpstreamName UPSTREAM = new UpstreamName("i-1");

  private final List<AttemptReport> reports = new ArrayList<>();
  private boolean cutOff;
  private final CutOffPlacement placement =
      new CutOffPlacement(new RecordingPlacement(), () -> cutOff);

  /** Guards against upstreams that are ejected for all since one daemon has lost its paths. */
  @Test
  void aDaemonThatIsCutOffEndsItsAttemptsWithoutAFaultOfTheUpstream() {
    cutOff = true;

    placement.report(ended(AttemptResult.CONNECT_FAILED));
    placement.report(ended(AttemptResult.TIMED_OUT));
    placement.report(ended(AttemptResult.COMPLETED));

    assertThat(reports)
        .extracting(report -> report.result().orElseThrow())
        .containsExactly(AttemptResult.CANCELLED, AttemptResult.CANCELLED, AttemptResult.COMPLETED);
    assertThat(reports.get(0).failedUpstream()).isEmpty();
  }

  @Test
  void aDaemonThatReachesUpstreamsReportsTheirFaults() {
    AttemptReport failed = ended(AttemptResult.CONNECT_FAILED);

    placement.report(failed);

    assertThat(reports).containsExactly(failed);
  }

  private static AttemptReport ended(AttemptResult result) {
    return new AttemptReport(
        new RequestId("q1"),
        1,
        AttemptPhase.ENDED,
        Optional.of(result),
        Optional.of(UPSTREAM),
        0,
        0,
        0);
  }

  private final class RecordingPlacement implements PlacementService {

    @Override
    public void place(PlacementRequest request, Consumer<PlacementResult> result) {}

    @Override
    public void report(AttemptReport report) {
      reports.add(report);
    }

    @Override
    public void withdraw(RequestId request) {}
  }
}
