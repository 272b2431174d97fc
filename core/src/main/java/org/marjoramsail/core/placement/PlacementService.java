package org.marjoramsail.core.placement;

import java.util.function.Consumer;
import org.marjoramsail.core.model.RequestId;

/**
 * The placement of the whole fleet as an entry daemon sees it, wherever the owner of a shard is.
 *
 * <p>The implementation finds the owner, repeats lost messages, registers again with a new owner,
 * and grants a bounded share itself while there is none. It answers each attempt exactly once.
 */
public interface PlacementService {

  /**
   * Asks for upstreams.
   *
   * @param request one attempt; a request has at most one unanswered or granted attempt at a time
   * @param result called once, on any thread, unless the request is withdrawn first
   */
  void place(PlacementRequest request, Consumer<PlacementResult> result);

  /** Tells the progress or the end of a granted attempt; an attempt must be ended exactly once. */
  void report(AttemptReport report);

  /** Gives up an attempt that waits; one already granted is released. */
  void withdraw(RequestId request);
}
