package org.marjoramsail.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.Placer;

/**
 * Compares the policies on fake engines: goodput under both targets and wasted prefill.
 *
 * <p>Arguments: seeds, loads over capacity, seconds, and the seconds between crashes of a decode
 * engine (zero for none); lists have commas.
 */
public final class PlacementExperiment {

  private static final int PREFILLS = 4;
  private static final int DECODES = 6;
  private static final int SLOTS = 20;
  private static final long REPORT_EVERY_MILLIS = 250;
  private static final long REPORT_LAG_MILLIS = 400;
  private static final long TICK_MILLIS = 5;
  private static final long CRASH_MILLIS = 3_000;
  private static final int MOST_ATTEMPTS = 3;
  private static final double TOKEN_TARGET_MILLIS = 30;
  private static final double LINK_BYTES_PER_MILLI = 1_250_000;

  private final PlacementPolicy policy;
  private final FakeEngines engines = new FakeEngines();
  private final Map<String, Placer> placers = new HashMap<>();
  private final Map<String, Caller> callers = new HashMap<>();
  private final Workload workload;
  private final long endMillis;
  private final int[] arrived = new int[3];
  private final int[] good = new int[3];
  private final int[] refused = new int[3];
  private final List<Long> quickFirstToken = new ArrayList<>();
  private double readTokens;
  private double wastedTokens;

  private PlacementExperiment(PlacementPolicy policy, long seed, double load, long seconds) {
    this.policy = policy;
    this.endMillis = seconds * 1_000;
    this.workload = new Workload(seed, load * capacityPerMilli());
    for (int number = 0; number < PREFILLS; number++) {
      engines.add(new UpstreamName("prefill-" + number), UpstreamRole.PREFILL, SLOTS);
    }
    for (int number = 0; number < DECODES; number++) {
      engines.add(new UpstreamName("decode-" + number), UpstreamRole.DECODE, SLOTS);
    }
    int copies = policy.isSharedOwner() ? 1 : Workload.ENTRIES;
    for (int copy = 0; copy < copies; copy++) {
      placers.put(
          "entry-" + copy,
          policy.create(
              BenchmarkPool.setup(
                  BenchmarkPool.configuration(PREFILLS, DECODES, SLOTS),
                  PlacementSettings.defaults(),
                  seed + copy),
              0));
    }
  }

  /** Runs all policies over the same arrivals and prints one line for each. */
  public static void main(String[] arguments) {
    List<String> given = new ArrayList<>(Arrays.asList(arguments));
    List<String> defaults = List.of("1,2,3", "0.5,1.0,1.5,2.0", "60", "0");
    given.addAll(defaults.subList(Math.min(given.size(), defaults.size()), defaults.size()));
    long seconds = Long.parseLong(given.get(2));
    long crashEvery = Long.parseLong(given.get(3));
    System.out.printf(
        "policy          load  goodput/s  good%%  quick%%  std%%  defer%%  refused%%  wasted%%"
            + "  quick-p95  most-held%n");
    for (String load : given.get(1).split(",", -1)) {
      for (PlacementPolicy policy : PlacementPolicy.values()) {
        List<Figures> figures = new ArrayList<>();
        for (String seed : given.get(0).split(",", -1)) {
          PlacementExperiment experiment =
              new PlacementExperiment(
                  policy, Long.parseLong(seed), Double.parseDouble(load), seconds);
          figures.add(experiment.run(crashEvery));
        }
        System.out.println(Figures.line(policy.code(), load, figures));
      }
    }
  }

  /** Requests a millisecond that the scarcer of the two pools can carry. */
  private static double capacityPerMilli() {
    double reading = PREFILLS * FakeEngines.READ_TOKENS_PER_MILLI / Workload.meanPromptTokens();
    double hold =
        Workload.meanOutputTokens() * FakeEngines.DECODE_MILLIS_PER_TOKEN * 1.3
            + Workload.meanPromptTokens() / FakeEngines.READ_TOKENS_PER_MILLI;
    return Math.min(reading, DECODES * SLOTS / hold);
  }

  private Figures run(long crashEverySeconds) {
    scheduleArrival();
    engines.after(TICK_MILLIS, this::tick);
    engines.after(REPORT_EVERY_MILLIS, this::reportLoads);
    if (crashEverySeconds > 0) {
      engines.after(crashEverySeconds * 1_000.0, () -> crash(0, crashEverySeconds));
    }
    engines.runUntil(endMillis + 60_000);
    int held =
        engines.all().stream()
            .filter(engine -> engine.role() == UpstreamRole.DECODE)
            .mapToInt(FakeEngines.Engine::largestHeld)
            .max()
            .orElse(0);
    return new Figures(this, held);
  }

  private void scheduleArrival() {
    long at = workload.nextArrival();
    if (at < endMillis) {
      engines.at(
          at,
          () -> {
            PlacementRequest request = workload.nextRequest();
            arrived[request.serviceClass().rank()]++;
            place(new Caller(request, engines.now()), request);
            scheduleArrival();
          });
    }
  }

  private void tick() {
    placers.values().forEach(placer -> handle(placer.tick(engines.now())));
    engines.after(TICK_MILLIS, this::tick);
  }

  private void reportLoads() {
    for (FakeEngines.Engine engine : engines.all()) {
      if (!engine.isDown()) {
        LoadReport report = engine.report(0);
        engines.after(
            REPORT_LAG_MILLIS,
            () -> placers.values().forEach(placer -> handle(placer.load(report, engines.now()))));
      }
    }
    engines.after(REPORT_EVERY_MILLIS, this::reportLoads);
  }

  private void crash(int number, long everySeconds) {
    UpstreamName name = new UpstreamName("decode-" + number % DECODES);
    engines.engine(name).crash(CRASH_MILLIS);
    engines.after(500, () -> available(name, false));
    engines.after(CRASH_MILLIS, () -> available(name, true));
    engines.after(everySeconds * 1_000.0, () -> crash(number + 1, everySeconds));
  }

  private void available(UpstreamName name, boolean isAvailable) {
    placers
        .values()
        .forEach(placer -> handle(placer.availability(name, isAvailable, engines.now())));
  }

  private Placer placerOf(DaemonId entry) {
    return placers.get(policy.isSharedOwner() ? "entry-0" : entry.host());
  }

  private void place(Caller caller, PlacementRequest request) {
    callers.put(request.request().value(), caller);
    caller.request = request;
    handle(placerOf(request.entry()).place(request, engines.now()));
  }

  private void handle(List<PlacementResult> results) {
    for (PlacementResult result : results) {
      Caller caller = callers.get(result.request().value());
      if (result instanceof PlacementResult.Granted granted) {
        start(caller, granted.grant());
      } else {
        refused[caller.request.serviceClass().rank()]++;
        callers.remove(result.request().value());
      }
    }
  }

  private void start(Caller caller, Grant grant) {
    if (grant.mode() == GrantMode.DISAGGREGATED) {
      FakeEngines.Engine reader = engines.engine(grant.prefill().orElseThrow());
      if (grant.expectedPrefillMillis() == 0) {
        transfer(caller, grant, caller.kvTokens, caller.kvUntil);
        return;
      }
      PlacementRequest request = caller.request;
      int cached = reader.cached(request.prefixHashes(), request.promptTokens());
      double unread = Math.max(1, request.promptTokens() - cached);
      double millis = FakeEngines.OVERHEAD_MILLIS + unread / FakeEngines.READ_TOKENS_PER_MILLI;
      readTokens += unread;
      reader.submit(
          new FakeEngines.Job(
              millis,
              begun -> {},
              done -> {
                report(caller, grant, AttemptPhase.PREFILLED, cached, millis);
                caller.kvTokens = unread;
                caller.kvUntil = engines.now() + FakeEngines.KV_LIFETIME_MILLIS;
                transfer(caller, grant, unread, caller.kvUntil);
              }));
    } else {
      double unread = caller.request.promptTokens();
      readTokens += unread;
      decode(caller, grant, unread, unread / FakeEngines.READ_TOKENS_PER_MILLI, Long.MAX_VALUE);
    }
  }

  private void transfer(Caller caller, Grant grant, double tokens, long kvUntil) {
    double bytes = (double) caller.request.promptTokens() * BenchmarkPool.KV_BYTES_PER_TOKEN;
    engines.after(bytes / LINK_BYTES_PER_MILLI, () -> decode(caller, grant, tokens, 0, kvUntil));
  }

  private void decode(
      Caller caller, Grant grant, double readBefore, double readMillis, long kvUntil) {
    FakeEngines.Engine target = engines.engine(grant.target());
    if (target.isDown()) {
      fail(caller, grant, readBefore, AttemptResult.CONNECT_FAILED);
      return;
    }
    int output = caller.request.outputTokens();
    double millis = readMillis + output * FakeEngines.DECODE_MILLIS_PER_TOKEN;
    boolean[] isGenerating = new boolean[1];
    FakeEngines.Job job =
        new FakeEngines.Job(
            millis,
            begun -> {
              isGenerating[0] = true;
              caller.firstTokenAt = engines.now() + (long) readMillis;
              report(caller, grant, AttemptPhase.GENERATING, 0, readMillis);
            },
            done -> {
              if (done) {
                complete(caller, grant);
              } else {
                fail(caller, grant, isGenerating[0] ? 0 : readBefore, AttemptResult.FAILED);
              }
            });
    target.submit(job);
    if (!isGenerating[0] && kvUntil != Long.MAX_VALUE) {
      engines.at(
          kvUntil,
          () -> {
            if (!isGenerating[0] && target.abandon(job)) {
              fail(caller, grant, readBefore, AttemptResult.KV_LOST);
            }
          });
    }
  }

  private void complete(Caller caller, Grant grant) {
    PlacementRequest request = caller.request;
    long first = caller.firstTokenAt - caller.arrivedAt;
    long total = engines.now() - caller.arrivedAt;
    double perToken = (engines.now() - caller.firstTokenAt) / (double) request.outputTokens();
    boolean isInTime =
        request.serviceClass().mayWait() ? total <= caller.deadline : first <= caller.firstToken;
    int rank = request.serviceClass().rank();
    if (isInTime && perToken <= TOKEN_TARGET_MILLIS) {
      good[rank]++;
    }
    if (request.serviceClass() == ServiceClass.QUICK) {
      quickFirstToken.add(first);
    }
    callers.remove(request.request().value());
    end(caller, grant, AttemptResult.COMPLETED, request.outputTokens());
  }

  private void fail(Caller caller, Grant grant, double readBefore, AttemptResult result) {
    PlacementRequest request = caller.request;
    boolean isKvAlive =
        grant.mode().isTransferring()
            && result == AttemptResult.CONNECT_FAILED
            && engines.now() + 100 < caller.kvUntil;
    if (!isKvAlive) {
      wastedTokens += readBefore;
    }
    end(caller, grant, result, 0);
    if (request.attempt() < MOST_ATTEMPTS) {
      boolean isFault = result.isUpstreamFault();
      place(
          caller,
          caller.nextAttempt(
              isFault ? List.of(grant.target()) : List.of(),
              isKvAlive ? grant.prefill() : Optional.empty(),
              engines.now()));
    } else {
      refused[request.serviceClass().rank()]++;
      callers.remove(request.request().value());
    }
  }

  private void report(
      Caller caller, Grant grant, AttemptPhase phase, int cached, double tookMillis) {
    tell(caller, grant, phase, Optional.empty(), cached, Math.round(tookMillis), 0);
  }

  private void end(Caller caller, Grant grant, AttemptResult result, int tokens) {
    tell(caller, grant, AttemptPhase.ENDED, Optional.of(result), 0, 0, tokens);
  }

  private void tell(
      Caller caller,
      Grant grant,
      AttemptPhase phase,
      Optional<AttemptResult> result,
      int cached,
      long tookMillis,
      int tokens) {
    Optional<UpstreamName> failed =
        result.filter(AttemptResult::isUpstreamFault).map(fault -> grant.target());
    AttemptReport report =
        new AttemptReport(
            grant.request(), grant.attempt(), phase, result, failed, cached, tookMillis, tokens);
    handle(placerOf(caller.request.entry()).report(report, engines.now()));
  }

  /** One caller's request across its attempts. */
  private static final class Caller {
    private final long arrivedAt;
    private final long firstToken;
    private final long deadline;
    private PlacementRequest request;
    private long firstTokenAt;
    private double kvTokens;
    private long kvUntil;

    Caller(PlacementRequest request, long arrivedAt) {
      this.request = request;
      this.arrivedAt = arrivedAt;
      this.firstToken = request.firstTokenWithinMillis();
      this.deadline = request.deadlineWithinMillis();
    }

    PlacementRequest nextAttempt(
        List<UpstreamName> avoid, Optional<UpstreamName> kvHeldBy, long nowMillis) {
      long waited = nowMillis - arrivedAt;
      return new PlacementRequest(
          request.request(),
          request.attempt() + 1,
          request.entry(),
          request.service(),
          request.organisation(),
          request.rule(),
          request.serviceClass(),
          request.promptTokens(),
          request.outputTokens(),
          request.prefixHashes(),
          waited,
          firstToken - waited,
          deadline - waited,
          avoid,
          kvHeldBy,
          false);
    }
  }

  /** What one run gave. */
  private static final class Figures {
    private final long millis;
    private final int[] arrived;
    private final int[] good;
    private final int[] refused;
    private final double read;
    private final double wasted;
    private final List<Long> quick;
    private final int held;

    Figures(PlacementExperiment run, int held) {
      this.millis = run.endMillis;
      this.arrived = run.arrived;
      this.good = run.good;
      this.refused = run.refused;
      this.read = run.readTokens;
      this.wasted = run.wastedTokens;
      this.quick = run.quickFirstToken;
      this.held = held;
    }

    static String line(String policy, String load, List<Figures> runs) {
      double seconds = runs.stream().mapToLong(run -> run.millis).sum() / 1_000.0;
      int allGood = 0;
      int allArrived = 0;
      int allRefused = 0;
      double[] byClass = new double[3];
      for (int rank = 0; rank < byClass.length; rank++) {
        int goodOfClass = 0;
        int arrivedOfClass = 0;
        for (Figures run : runs) {
          goodOfClass += run.good[rank];
          arrivedOfClass += run.arrived[rank];
          allRefused += run.refused[rank];
        }
        allGood += goodOfClass;
        allArrived += arrivedOfClass;
        byClass[rank] = 100.0 * goodOfClass / Math.max(1, arrivedOfClass);
      }
      double read = runs.stream().mapToDouble(run -> run.read).sum();
      double wasted = runs.stream().mapToDouble(run -> run.wasted).sum();
      List<Long> quick = runs.stream().flatMap(run -> run.quick.stream()).sorted().toList();
      long p95 = quick.isEmpty() ? 0 : quick.get((int) (quick.size() * 0.95));
      int held = runs.stream().mapToInt(run -> run.held).max().orElse(0);
      return String.format(
          Locale.ROOT,
          "%-14s %5s %10.2f %6.1f %7.1f %5.1f %7.1f %9.1f %8.2f %10d %10d",
          policy,
          load,
          allGood / seconds,
          100.0 * allGood / Math.max(1, allArrived),
          byClass[0],
          byClass[1],
          byClass[2],
          100.0 * allRefused / Math.max(1, allArrived),
          100 * wasted / Math.max(1, read),
          p95,
          held);
    }
  }
}
