package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Base class of the baseline policies, which place each attempt at once by the last load reports,
 * without a queue or reservations.
 */
abstract class DirectPlacer implements Placer {

  private static final long RETRY_MILLIS = 1_000;

  private final ShardId shard;
  private final PlacementSettings settings;
  private final Map<UpstreamName, Candidate> candidates = new TreeMap<>();
  private final Map<RequestId, PlacedAttempt> placed = new LinkedHashMap<>();

  DirectPlacer(PlacerSetup setup) {
    this.shard = setup.shard();
    this.settings = setup.settings();
    updateCandidates(setup.configuration());
  }

  /** Picks one of a non-empty list of candidates, all of one role. */
  abstract Candidate pick(List<Candidate> choices);

  @Override
  public final List<PlacementResult> configure(Configuration configuration, long nowMillis) {
    updateCandidates(configuration);
    return List.of();
  }

  @Override
  public final List<PlacementResult> place(PlacementRequest request, long nowMillis) {
    PlacedAttempt existing = placed.get(request.request());
    if (existing != null && existing.request().attempt() >= request.attempt()) {
      boolean isSame = existing.request().attempt() == request.attempt();
      return isSame
          ? List.of(new PlacementResult.Granted(request.entry(), existing.grant()))
          : List.of();
    }
    UpstreamRole role = request.isGeneration() ? UpstreamRole.DECODE : UpstreamRole.PLAIN;
    List<Candidate> targets =
        usable(role, request).stream()
            .filter(it -> it.mayContinue(request.requiredVersion()))
            .toList();
    if (targets.isEmpty()) {
      Refusal refusal =
          Refusal.notRun(
              RefusalReason.NO_UPSTREAM, "No upstream of " + shard + " is live.", RETRY_MILLIS);
      return List.of(
          new PlacementResult.Refused(
              request.entry(), request.request(), request.attempt(), refusal));
    }
    Grant grant = grant(request, pick(targets));
    placed.put(
        request.request(), new PlacedAttempt(request, grant, AttemptPhase.PREFILLING, nowMillis));
    return List.of(new PlacementResult.Granted(request.entry(), grant));
  }

  @Override
  public final List<PlacementResult> restore(
      PlacementRequest request, Grant grant, AttemptPhase phase, long nowMillis) {
    placed.put(request.request(), new PlacedAttempt(request, grant, phase, nowMillis));
    return List.of();
  }

  @Override
  public final List<PlacementResult> report(AttemptReport report, long nowMillis) {
    PlacedAttempt existing = placed.get(report.request());
    if (existing == null || existing.request().attempt() != report.attempt()) {
      return List.of();
    }
    if (report.phase() == AttemptPhase.ENDED) {
      placed.remove(report.request());
    } else {
      placed.put(
          report.request(),
          new PlacedAttempt(
              existing.request(), existing.grant(), report.phase(), existing.atMillis()));
    }
    return List.of();
  }

  @Override
  public final List<PlacementResult> withdraw(RequestId request, long nowMillis) {
    placed.remove(request);
    return List.of();
  }

  @Override
  public final List<PlacementResult> load(LoadReport report, long nowMillis) {
    Candidate candidate = candidates.get(report.upstream());
    if (candidate != null) {
      candidates.put(report.upstream(), candidate.reporting(report));
    }
    return List.of();
  }

  @Override
  public final List<PlacementResult> availability(
      UpstreamName upstream, boolean available, long nowMillis) {
    Candidate candidate = candidates.get(upstream);
    if (candidate != null) {
      candidates.put(upstream, candidate.listed(available));
    }
    return List.of();
  }

  @Override
  public final List<PlacementResult> daemonFailed(DaemonId daemon, long nowMillis) {
    placed
        .values()
        .removeIf(it -> SlotReservations.isSameOrEarlierIncarnation(it.request().entry(), daemon));
    return List.of();
  }

  @Override
  public final List<PlacementResult> tick(long nowMillis) {
    return List.of();
  }

  @Override
  public final ShardView view(long nowMillis) {
    List<ShardView.UpstreamView> upstreams =
        candidates.values().stream().map(Candidate::view).toList();
    List<ShardView.RunningView> running = new ArrayList<>();
    placed.values().stream()
        .sorted(Comparator.comparingLong(PlacedAttempt::atMillis))
        .forEach(it -> running.add(it.view(nowMillis)));
    return new ShardView(shard, upstreams, running, List.of(), List.of());
  }

  private void updateCandidates(Configuration configuration) {
    Map<UpstreamName, Candidate> previous = new TreeMap<>(candidates);
    candidates.clear();
    new ShardMap(configuration, settings.shardUpstreams())
        .upstreamsOf(shard)
        .forEach(
            definition -> {
              Candidate created =
                  new Candidate(
                      definition.name(),
                      definition.role(),
                      definition.availabilityZone(),
                      definition.slots(),
                      !definition.drained(),
                      Optional.empty(),
                      definition.softwareVersion());
              Candidate current = previous.getOrDefault(definition.name(), created);
              candidates.put(
                  definition.name(), current.listed(current.isListed() && !definition.drained()));
            });
  }

  private List<Candidate> usable(UpstreamRole role, PlacementRequest request) {
    return candidates.values().stream()
        .filter(it -> it.role() == role && it.isUsable() && !request.avoid().contains(it.name()))
        .toList();
  }

  private Grant grant(PlacementRequest request, Candidate target) {
    List<Candidate> prefillCandidates = usable(UpstreamRole.PREFILL, request);
    double localPrefillMillis =
        settings.prefillOverheadMillis()
            + request.promptTokens() / settings.prefillTokensPerMilli();
    Optional<UpstreamName> prefill = Optional.empty();
    GrantMode mode = request.isGeneration() ? GrantMode.LOCAL_PREFILL : GrantMode.PLAIN;
    boolean isShort = localPrefillMillis <= settings.localPrefillMillis();
    if (request.isGeneration() && !isShort && !prefillCandidates.isEmpty()) {
      mode = GrantMode.DISAGGREGATED;
      prefill = request.kvHeldBy().or(() -> Optional.of(pick(prefillCandidates).name()));
    }
    return new Grant(
        request.request(),
        request.attempt(),
        mode,
        prefill,
        target.name(),
        request.kvHeldBy().isPresent() ? 0 : Math.round(localPrefillMillis),
        0);
  }

  /** An upstream with its last load report. */
  record Candidate(
      UpstreamName name,
      UpstreamRole role,
      String availabilityZone,
      int slots,
      boolean isListed,
      Optional<LoadReport> report,
      Optional<SoftwareVersion> version) {

    Candidate reporting(LoadReport newer) {
      return new Candidate(
          name, newer.role(), availabilityZone, slots, isListed, Optional.of(newer), version);
    }

    Candidate listed(boolean available) {
      return new Candidate(name, role, availabilityZone, slots, available, report, version);
    }

    boolean mayContinue(Optional<SoftwareVersion> required) {
      return required.isEmpty() || required.equals(version);
    }

    boolean isUsable() {
      return isListed && report.filter(LoadReport::leaving).isEmpty();
    }

    /** Returns the reported requests divided by slots; zero before the first report. */
    double reportedLoad() {
      int held = report.map(it -> it.running() + it.waiting()).orElse(0);
      return held / (double) Math.max(1, slots);
    }

    ShardView.UpstreamView view() {
      int running = report.map(LoadReport::running).orElse(0);
      return new ShardView.UpstreamView(
          name,
          role,
          availabilityZone,
          slots,
          0,
          running,
          isUsable(),
          isUsable() ? "available" : "unreachable",
          0,
          1,
          100,
          0,
          0,
          0);
    }
  }

  private record PlacedAttempt(
      PlacementRequest request, Grant grant, AttemptPhase phase, long atMillis) {

    ShardView.RunningView view(long nowMillis) {
      return new ShardView.RunningView(
          request.request(),
          request.attempt(),
          request.organisation(),
          request.entry(),
          phase,
          grant.prefill(),
          grant.target(),
          nowMillis - atMillis,
          request.memoryTokens());
    }
  }
}
