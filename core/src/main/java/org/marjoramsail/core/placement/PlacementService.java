package org.marjoramsail.core.placement;

import java.util.function.Consumer;
import org.marjoramsail.core.model.RequestId;

/**
 * Placement in the whole fleet as an entry daemon uses it, wherever the owner of a shard runs.
 *
 * <p>The implementation finds the owner, repeats lost messages, registers attempts with a new
 * owner, and grants a bounded share itself while there is no owner. It returns exactly one result
 * for each attempt.
 */
public interface PlacementService {

  /**
   * Requests upstreams.
   *
   * @param request one attempt; under each identifier at most one waits or is granted at a time
   * @param result called once, on any thread, unless the request is withdrawn first
   */
  void place(PlacementRequest request, Consumer<PlacementResult> result);

  /**
   * Reports the progress or the end of a granted attempt; the end must be reported exactly once.
   */
  void report(AttemptReport report);

  /** Withdraws a waiting attempt; one already granted is released. */
  void withdraw(RequestId request);
}
