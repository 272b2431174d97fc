package org.marjoramsail.core.placement;

import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Simulation of one shard whose engines serve kinds of requests with prompts of different lengths,
 * on a virtual clock. Engines prefill one prompt at a time and generate at a constant rate.
 */
final class MixedPromptSimulation {

  private static final long TARGET_MILLIS = 900;

  /** Time that a caller waits for the first output. */
  private static final long PATIENCE_MILLIS = 3_000;

  private static final double PREFILL_TOKENS_PER_MILLI = 33.3;
  private static final double MILLIS_PER_TOKEN = 4.5;
  private static final double TRANSFER_TOKENS_PER_MILLI = 620;
  private static final int MEAN_OUTPUT_TOKENS = 800;
  private static final double LATE_BENEFIT = 0.2;
  private static final long TICK_MILLIS = 10;

  /** A burst doubles the rate for a third of each period. */
  private static final long BURST_PERIOD_MILLIS = 9_000;

  private static final class Request {
    private final String kind;
    private final int promptTokens;
    private final int outputTokens;
    private final long arrivedAt;
    private double benefit;

    Request(String kind, int promptTokens, int outputTokens, long arrivedAt) {
      this.kind = kind;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.arrivedAt = arrivedAt;
    }
  }

  private final VirtualEvents events = new VirtualEvents();
  private final Random random;
  private final ReservingPlacer placer;
  private final Map<RequestId, Request> requests = new HashMap<>();
  private final Map<UpstreamName, Long> prefillBusyUntil = new HashMap<>();
  private final int longestPrompt;
  private long lastArrivalAt;

  /** Creates a shard with engines of the given memory, in which each prompt fits. */
  MixedPromptSimulation(int prefills, int decodes, int memoryTokens, long seed) {
    this.longestPrompt = memoryTokens - 2 * MEAN_OUTPUT_TOKENS;
    this.random = new Random(seed);
    this.placer =
        PlacementFixtures.shortLivedPlacer(poolWithMemory(prefills, decodes, 12, memoryTokens));
  }

  /**
   * Schedules requests of a kind.
   *
   * @param perSecond mean rate outside of bursts
   * @param sharedTokens mean length of the shared part of a prompt
   * @param ownTokens mean length of the rest
   */
  void load(String kind, double perSecond, int sharedTokens, int ownTokens, long untilMillis) {
    double at = 0;
    while (at < untilMillis) {
      boolean isBurst = at % BURST_PERIOD_MILLIS < BURST_PERIOD_MILLIS / 3;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (isBurst ? 2 * perSecond : perSecond);
      int prompt =
          Math.min(
              longestPrompt,
              varied(sharedTokens, 0.63, 3 * sharedTokens)
                  + varied(ownTokens, 0.47, 2 * ownTokens));
      int output = varied(MEAN_OUTPUT_TOKENS, 0.63, 2 * MEAN_OUTPUT_TOKENS);
      long arrivedAt = (long) at;
      RequestId id = new RequestId(kind + "-" + requests.size());
      requests.put(id, new Request(kind, prompt, output, arrivedAt));
      events.at(arrivedAt, () -> place(id));
      lastArrivalAt = Math.max(lastArrivalAt, arrivedAt);
    }
  }

  /** Returns a length with a logarithmic normal distribution. */
  private int varied(int mean, double deviation, int maximum) {
    double logarithm = deviation * random.nextGaussian() - deviation * deviation / 2;
    return (int) Math.min(maximum, Math.round(mean * Math.exp(logarithm)));
  }

  void run() {
    events.every(TICK_MILLIS, lastArrivalAt + PATIENCE_MILLIS, this::tick);
    events.run();
  }

  private void tick() {
    handle(placer.tick(events.now()));
  }

  private void place(RequestId id) {
    Request request = requests.get(id);
    handle(
        placer.place(
            request(id.value())
                .rule(request.kind)
                .tokens(request.promptTokens, MEAN_OUTPUT_TOKENS)
                .serviceClass(ServiceClass.TIMELY)
                .within(TARGET_MILLIS, PATIENCE_MILLIS)
                .build(),
            events.now()));
  }

  private void handle(List<PlacementResult> results) {
    for (PlacementResult result : results) {
      if (result instanceof PlacementResult.Granted granted) {
        prefill(granted.grant());
      }
    }
  }

  private void prefill(Grant grant) {
    Request request = requests.get(grant.request());
    boolean isLocal = grant.prefill().isEmpty();
    UpstreamName engine = grant.prefill().orElse(grant.target());
    double rate = isLocal ? PREFILL_TOKENS_PER_MILLI / 2 : PREFILL_TOKENS_PER_MILLI;
    long startsAt = Math.max(events.now(), prefillBusyUntil.getOrDefault(engine, 0L));
    long endsAt = startsAt + Math.round(request.promptTokens / rate);
    prefillBusyUntil.put(engine, endsAt);
    long transferMillis =
        isLocal ? 0 : Math.round(request.promptTokens / TRANSFER_TOKENS_PER_MILLI);
    long firstTokenAt = endsAt + transferMillis;
    long completedAt = firstTokenAt + Math.round(request.outputTokens * MILLIS_PER_TOKEN);
    events.at(endsAt, () -> report(progress(grant.request().value(), 1, AttemptPhase.PREFILLED)));
    events.at(firstTokenAt, () -> generate(grant.request()));
    events.at(completedAt, () -> complete(grant.request(), completedAt - firstTokenAt));
  }

  private void generate(RequestId id) {
    Request request = requests.get(id);
    boolean isInTime = events.now() - request.arrivedAt <= TARGET_MILLIS;
    request.benefit = isInTime ? 1 : LATE_BENEFIT;
    report(progress(id.value(), 1, AttemptPhase.GENERATING));
  }

  private void complete(RequestId id, long tookMillis) {
    report(
        new AttemptReport(
            id,
            1,
            AttemptPhase.ENDED,
            Optional.of(AttemptResult.COMPLETED),
            Optional.empty(),
            0,
            tookMillis,
            requests.get(id).outputTokens,
            0));
  }

  private void report(AttemptReport report) {
    handle(placer.report(report, events.now()));
  }

  /** Returns the share of the benefit of a kind that was earned. */
  double benefit(String kind) {
    return benefit(ofKind(kind));
  }

  /** Returns the share of the requests of a kind that were served, in time or late. */
  double servedShare(String kind) {
    return servedShare(ofKind(kind));
  }

  /** Returns the same for the tenth of the kind with the longest prompts. */
  double servedShareOfLargestTenth(String kind) {
    List<Request> bySize =
        ofKind(kind).stream()
            .sorted(Comparator.comparingInt((Request it) -> it.promptTokens).reversed())
            .toList();
    return servedShare(bySize.subList(0, Math.max(1, bySize.size() / 10)));
  }

  private static double servedShare(List<Request> some) {
    return some.stream().mapToDouble(it -> it.benefit > 0 ? 1 : 0).average().orElse(0);
  }

  private List<Request> ofKind(String kind) {
    return requests.values().stream().filter(it -> it.kind.equals(kind)).toList();
  }

  private static double benefit(List<Request> some) {
    return some.stream().mapToDouble(it -> it.benefit).average().orElse(0);
  }

  @Override
  public String toString() {
    List<String> kinds = new ArrayList<>();
    requests.values().stream()
        .map(it -> it.kind)
        .distinct()
        .forEach(
            kind ->
                kinds.add(
                    String.format(
                        "%s: %d asked, benefit %.3f, served %.3f, of the largest tenth %.3f",
                        kind,
                        ofKind(kind).size(),
                        benefit(kind),
                        servedShare(kind),
                        servedShareOfLargestTenth(kind))));
    return String.join("; ", kinds);
  }
}
