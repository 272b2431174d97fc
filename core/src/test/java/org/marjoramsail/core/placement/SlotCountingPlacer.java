package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Placer with a single upstream and a fixed number of slots that serves requests in order of
 * arrival.
 */
final class SlotCountingPlacer implements Placer {

  private final int slots;
  private final Map<RequestId, PlacementRequest> waiting = new LinkedHashMap<>();
  private final Map<RequestId, DaemonId> held = new LinkedHashMap<>();

  SlotCountingPlacer(int slots) {
    this.slots = slots;
  }

  int held() {
    return held.size();
  }

  int waiting() {
    return waiting.size();
  }

  @Override
  public List<PlacementResult> configure(Configuration configuration, long nowMillis) {
    return List.of();
  }

  @Override
  public List<PlacementResult> place(PlacementRequest request, long nowMillis) {
    waiting.put(request.request(), request);
    return serve();
  }

  @Override
  public List<PlacementResult> restore(
      PlacementRequest request, Grant grant, AttemptPhase phase, long nowMillis) {
    held.put(request.request(), request.entry());
    return List.of();
  }

  @Override
  public List<PlacementResult> report(AttemptReport report, long nowMillis) {
    if (report.phase() == AttemptPhase.ENDED) {
      held.remove(report.request());
    }
    return serve();
  }

  @Override
  public List<PlacementResult> withdraw(RequestId request, long nowMillis) {
    waiting.remove(request);
    held.remove(request);
    return serve();
  }

  @Override
  public List<PlacementResult> load(LoadReport report, long nowMillis) {
    return List.of();
  }

  @Override
  public List<PlacementResult> availability(
      UpstreamName upstream, boolean available, long nowMillis) {
    return List.of();
  }

  @Override
  public List<PlacementResult> daemonFailed(DaemonId daemon, long nowMillis) {
    waiting.values().removeIf(request -> request.entry().equals(daemon));
    held.values().removeIf(daemon::equals);
    return serve();
  }

  @Override
  public List<PlacementResult> tick(long nowMillis) {
    return serve();
  }

  @Override
  public ShardView view(long nowMillis) {
    return new ShardView(
        new ShardId("none", "none", 0), List.of(), List.of(), List.of(), List.of());
  }

  private List<PlacementResult> serve() {
    List<PlacementResult> results = new ArrayList<>();
    while (held.size() < slots && !waiting.isEmpty()) {
      PlacementRequest next = waiting.remove(waiting.keySet().iterator().next());
      held.put(next.request(), next.entry());
      Grant grant =
          new Grant(
              next.request(),
              next.attempt(),
              GrantMode.PLAIN,
              Optional.empty(),
              new UpstreamName("only"),
              0,
              0);
      results.add(new PlacementResult.Granted(next.entry(), grant));
    }
    return results;
  }
}
