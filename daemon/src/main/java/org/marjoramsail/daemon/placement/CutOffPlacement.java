package org.marjoramsail.daemon.placement;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementService;

/**
 * Placement that reports no faults of upstreams while this daemon is cut off from all of them.
 *
 * <p>Guards against upstreams that are ejected for all daemons since one of them has lost its
 * network paths.
 */
public final class CutOffPlacement implements PlacementService {

  private final PlacementService placement;
  private final BooleanSupplier cutOff;

  /**
   * Creates a placement.
   *
   * @param placement places requests
   * @param cutOff returns whether this daemon is cut off from all upstreams
   */
  public CutOffPlacement(PlacementService placement, BooleanSupplier cutOff) {
    this.placement = placement;
    this.cutOff = cutOff;
  }

  @Override
  public void place(PlacementRequest request, Consumer<PlacementResult> result) {
    placement.place(request, result);
  }

  @Override
  public void report(AttemptReport report) {
    placement.report(cutOff.getAsBoolean() ? report.withoutUpstreamFault() : report);
  }

  @Override
  public void withdraw(RequestId request) {
    placement.withdraw(request);
  }
}
