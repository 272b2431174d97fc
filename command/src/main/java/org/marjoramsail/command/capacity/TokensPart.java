package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.standin.load.LoadRunner;
import org.marjoramsail.standin.load.LoadRunnerOptions;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.Prompt;
import org.marjoramsail.standin.load.RequestEnd;
import org.marjoramsail.standin.load.RequestKind;
import org.marjoramsail.standin.load.RequestMix;
import org.marjoramsail.standin.load.RequestOutcome;
import org.marjoramsail.standin.load.StandInResponses;

/**
 * Processor time of a daemon for each request, streamed token and kilobyte of prompt.
 *
 * <p>One daemon with one event loop, engines that send a frame for each token at the pace of real
 * ones, streamed answers. The levels differ in rate, prompt and answer; a plane is fitted.
 */
final class TokensPart {

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int LEVEL_SECONDS = 10;
  private static final int IDLE_SECONDS = 10;
  private static final long LIMIT_SECONDS = 90;
  private static final long DEADLINE_MILLIS = 30_000;
  private static final int SHORT_ANSWER = 8;
  private static final int LONG_ANSWER = 255;
  private static final double BYTES_PER_KILOBYTE = 1_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int FACTORS = 4;

  /** Rate in requests a second, prompt and longest answer in tokens. */
  private record Level(int requestsPerSecond, int promptTokens, int maximumTokens) {}

  private static final Level WARM_UP = new Level(15, 1_000, LONG_ANSWER);

  private static final List<Level> LEVELS =
      List.of(
          new Level(20, 50, SHORT_ANSWER),
          new Level(60, 50, SHORT_ANSWER),
          new Level(10, 50, LONG_ANSWER),
          new Level(25, 50, LONG_ANSWER),
          new Level(5, 2_000, SHORT_ANSWER),
          new Level(15, 2_000, SHORT_ANSWER),
          new Level(3, 8_000, SHORT_ANSWER),
          new Level(12, 1_700, LONG_ANSWER));

  private final Bench bench;

  TokensPart(Bench bench) {
    this.bench = bench;
  }

  List<Point> measure() throws CapacityException {
    List<Point> points = new ArrayList<>();
    points.add(Point.of(Measure.IDLE_CORE, 0, 100 * new IdleDaemon(bench).core()));
    List<LeastSquares.Observation> observations = new ArrayList<>();
    try (MeasuredFleet fleet = MeasuredFleet.started(bench)) {
      run(fleet, WARM_UP, 0);
      run(fleet, WARM_UP, 1);
      double idle = idleCore(fleet);
      points.add(Point.of(Measure.IDLE_CORE, fleet.fleet().upstreams().size(), 100 * idle));
      observations.add(
          new LeastSquares.Observation(List.of(1.0, 0.0, 0.0, 0.0), idle * MILLIS_PER_SECOND));
      for (int number = 0; number < LEVELS.size(); number++) {
        observations.add(level(fleet, number, points));
      }
    }
    LeastSquares fit = LeastSquares.fit(observations);
    points.add(Point.of(Measure.REQUEST_MICROS, fit.weight(1) * MICROS_PER_MILLI));
    points.add(Point.of(Measure.TOKEN_MICROS, fit.weight(2) * MICROS_PER_MILLI));
    points.add(Point.of(Measure.PROMPT_MICROS, fit.weight(FACTORS - 1) * MICROS_PER_MILLI));
    points.add(Point.of(Measure.TOKENS_FIT, fit.determination()));
    return points;
  }

  private double idleCore(MeasuredFleet fleet) throws CapacityException {
    double before = fleet.processorMillis();
    Waiting.on("idle", fleet.standIns().timer(IDLE_SECONDS, TimeUnit.SECONDS), LIMIT_SECONDS);
    return (fleet.processorMillis() - before) / (IDLE_SECONDS * MILLIS_PER_SECOND);
  }

  private LeastSquares.Observation level(MeasuredFleet fleet, int number, List<Point> points)
      throws CapacityException {
    double before = fleet.processorMillis();
    long startedMillis = bench.clock().millis();
    List<RequestOutcome> outcomes = run(fleet, LEVELS.get(number), number + 2);
    double seconds = (bench.clock().millis() - startedMillis) / (double) MILLIS_PER_SECOND;
    double millis = (fleet.processorMillis() - before) / seconds;
    double requests = outcomes.size() / seconds;
    double tokens = outcomes.stream().mapToInt(RequestOutcome::tokens).sum() / seconds;
    double kilobytes =
        outcomes.stream().mapToInt(outcome -> outcome.request().body().length()).sum()
            / BYTES_PER_KILOBYTE
            / seconds;
    long failed =
        outcomes.stream().filter(outcome -> outcome.end() != RequestEnd.COMPLETED).count();
    points.add(Point.of(Measure.LEVEL_REQUESTS, number, requests));
    points.add(Point.of(Measure.LEVEL_TOKENS, number, tokens));
    points.add(Point.of(Measure.LEVEL_PROMPT, number, kilobytes));
    points.add(Point.of(Measure.LEVEL_CORE, number, 100 * millis / MILLIS_PER_SECOND));
    points.add(Point.of(Measure.LEVEL_FAILED, number, (double) failed));
    return new LeastSquares.Observation(List.of(1.0, requests, tokens, kilobytes), millis);
  }

  private List<RequestOutcome> run(MeasuredFleet fleet, Level level, int number)
      throws CapacityException {
    LoadRunner runner =
        new LoadRunner(
            fleet.standIns(), bench.clock(), new StandInResponses(), LoadRunnerOptions.standard());
    return Waiting.on(
        "run level " + number,
        runner.run(fleet.fleet().targets(), requests(level, number)),
        LIMIT_SECONDS);
  }

  private List<PlannedRequest> requests(Level level, int number) {
    List<PlannedRequest> requests = new ArrayList<>();
    int count = level.requestsPerSecond() * LEVEL_SECONDS;
    for (int sequence = 0; sequence < count; sequence++) {
      long atMillis = (long) sequence * MILLIS_PER_SECOND / level.requestsPerSecond();
      requests.add(request(level, number, sequence, atMillis));
    }
    return requests;
  }

  /** Each prompt is another, so that no prefix cache helps. */
  private PlannedRequest request(Level level, int number, int sequence, long atMillis) {
    String organisation = RequestMix.CABILDO_ABIERTO.organisations().get(0);
    long story = (bench.seed() * 100 + number) * 1_000_000 + sequence;
    Prompt prompt =
        new Prompt(
            0, 0, story, level.promptTokens() - 1, "question-%d-%d".formatted(number, sequence));
    return new PlannedRequest(
        sequence,
        atMillis,
        organisation,
        RequestMix.token(organisation),
        RequestKind.PROPOSAL_SUMMARY,
        "proposal-" + sequence,
        true,
        Optional.of(prompt),
        level.maximumTokens(),
        Optional.empty(),
        Optional.empty(),
        DEADLINE_MILLIS);
  }
}
