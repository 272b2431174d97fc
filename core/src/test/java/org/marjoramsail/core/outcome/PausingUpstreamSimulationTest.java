package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;

/**
 * Guards against streams that are lost, and retry budget that is spent, when an engine pauses. Runs
 * the streams of one pausing engine with the retry budget of a fleet, for several times that each
 * stream waits before another attempt is made.
 */
final class PausingUpstreamSimulationTest {

  private static final int STREAMS = 16;
  private static final int RETRY_BUDGET = 14;
  private static final int TOKENS = 40;
  private static final long TOKEN_MILLIS = 50;
  private static final long SILENT_FROM_MILLIS = 500;
  private static final long RESTART_MILLIS = 400;
  private static final long CALLER_TIMEOUT_MILLIS = 3_600;
  private static final long END_MILLIS = 20_000;
  private static final long FOREVER_MILLIS = END_MILLIS;

  /** What became of the streams, and what it took. */
  private record Result(int lost, int repeats, long heldTwiceMillis) {}

  @ParameterizedTest
  @CsvSource({"1200, 800", "1200, 1200", "1200, 1600", "1800, 800", "1800, 1200", "1800, 1600"})
  void noStreamIsLostToAPauseHoweverLongEachOneWaits(long stallMillis, long silenceMillis) {
    assertThat(simulate(stallMillis, silenceMillis).lost()).isZero();
  }

  @Test
  void aLongerWaitSpendsNoRetriesOnAPauseThatEndsByItself() {
    assertThat(simulate(1_200, 1_600).repeats()).isEqualTo(RETRY_BUDGET);
    assertThat(simulate(1_800, 1_600).repeats()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"1200", "1800"})
  void anEngineThatNeverGoesOnCostsNoMoreStreamsThanTheBudgetLacks(long stallMillis) {
    Result result = simulate(stallMillis, FOREVER_MILLIS);

    assertThat(result.repeats()).isEqualTo(RETRY_BUDGET);
    assertThat(result.lost()).isEqualTo(STREAMS - RETRY_BUDGET);
  }

  private static Result simulate(long stallMillis, long silenceMillis) {
    Fleet fleet = new Fleet(stallMillis, silenceMillis);
    for (long nowMillis = 0; nowMillis < END_MILLIS; nowMillis++) {
      fleet.step(nowMillis);
    }
    return fleet.result();
  }

  /** One attempt at an engine: the next token and when it is due. */
  private static final class Run {
    private final Stream stream;
    private final int attempt;
    private final boolean pausing;
    private int nextIndex;
    private long dueMillis;

    private Run(Stream stream, int attempt, boolean pausing, int nextIndex, long dueMillis) {
      this.stream = stream;
      this.attempt = attempt;
      this.pausing = pausing;
      this.nextIndex = nextIndex;
      this.dueMillis = dueMillis;
    }
  }

  private static final class Stream {
    private final RequestLifecycle lifecycle;
    private final Deque<LifecycleEvent> events = new ArrayDeque<>();
    private long lastTokenMillis;
    private boolean completed;

    private Stream(RequestLifecycle lifecycle) {
      this.lifecycle = lifecycle;
    }
  }

  private static final class Fleet {
    private static final UpstreamName PAUSING = new UpstreamName("engine-pausing");
    private static final UpstreamName OTHER = new UpstreamName("engine-other");

    private final long silentUntilMillis;
    private final List<Stream> streams = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private int budget = RETRY_BUDGET;
    private long heldTwiceMillis;

    private Fleet(long stallMillis, long silenceMillis) {
      this.silentUntilMillis = SILENT_FROM_MILLIS + silenceMillis;
      Quarantine quarantine = new Quarantine(600_000, 500, 100, QuarantineListener.NONE);
      for (int number = 0; number < STREAMS; number++) {
        Stream stream = new Stream(lifecycle(number, stallMillis, quarantine));
        stream.events.add(new LifecycleEvent.Started());
        streams.add(stream);
      }
    }

    private void step(long nowMillis) {
      for (Run run : List.copyOf(runs)) {
        boolean isSilent =
            run.pausing && nowMillis >= SILENT_FROM_MILLIS && nowMillis < silentUntilMillis;
        if (!isSilent && nowMillis >= run.dueMillis) {
          run.stream.events.add(nextEvent(run));
          run.nextIndex++;
          run.dueMillis = nowMillis + TOKEN_MILLIS;
        }
      }
      for (Stream stream : streams) {
        if (stream.lifecycle.nextWakeMillis().filter(due -> due <= nowMillis).isPresent()) {
          stream.events.add(new LifecycleEvent.TimePassed());
        }
        if (nowMillis - stream.lastTokenMillis > CALLER_TIMEOUT_MILLIS && !stream.completed) {
          stream.events.addFirst(new LifecycleEvent.CallerDisconnected());
        }
        handleAll(stream, nowMillis);
        if (runs.stream().filter(run -> run.stream == stream).count() > 1) {
          heldTwiceMillis++;
        }
      }
    }

    private static LifecycleEvent nextEvent(Run run) {
      RequestId id = run.stream.lifecycle.profile().id();
      return run.nextIndex < TOKENS
          ? new LifecycleEvent.TokenArrived(id, run.attempt, run.nextIndex, "t")
          : new LifecycleEvent.StreamFinished(id, run.attempt, TOKENS, "stop", 8, 0);
    }

    private void handleAll(Stream stream, long nowMillis) {
      while (!stream.events.isEmpty()) {
        List<LifecycleAction> actions = stream.lifecycle.handle(stream.events.poll(), nowMillis);
        actions.forEach(action -> act(stream, action, nowMillis));
      }
    }

    private void act(Stream stream, LifecycleAction action, long nowMillis) {
      if (action instanceof LifecycleAction.Place place) {
        stream.events.add(placed(place.request()));
      } else if (action instanceof LifecycleAction.SendDecode send) {
        boolean isPausing = send.upstream().equals(PAUSING);
        long firstMillis = nowMillis + (isPausing ? TOKEN_MILLIS : RESTART_MILLIS);
        runs.add(new Run(stream, send.attempt(), isPausing, send.startIndex(), firstMillis));
      } else if (action instanceof LifecycleAction.CloseAttempt close) {
        runs.removeIf(run -> run.stream == stream && run.attempt == close.attempt());
      } else if (action instanceof LifecycleAction.EmitToken) {
        stream.lastTokenMillis = nowMillis;
      } else if (action instanceof LifecycleAction.Complete) {
        stream.completed = true;
        runs.removeIf(run -> run.stream == stream);
      }
    }

    private LifecycleEvent placed(PlacementRequest request) {
      int repeats = request.priorCalls().repeatedBy(false);
      if (budget < repeats) {
        Refusal refusal = Refusal.notRun(RefusalReason.RETRIES_EXHAUSTED, "no budget");
        return new LifecycleEvent.PlacementRefused(request.attempt(), refusal);
      }
      budget -= repeats;
      UpstreamName target = request.avoid().contains(PAUSING) ? OTHER : PAUSING;
      return new LifecycleEvent.Granted(
          new Grant(
              request.request(),
              request.attempt(),
              GrantMode.LOCAL_PREFILL,
              Optional.empty(),
              target,
              0,
              0));
    }

    private Result result() {
      int lost = (int) streams.stream().filter(stream -> !stream.completed).count();
      return new Result(lost, RETRY_BUDGET - budget, heldTwiceMillis);
    }

    private static RequestLifecycle lifecycle(int number, long stallMillis, Quarantine quarantine) {
      RequestProfile profile =
          new RequestProfile(
              new RequestId("stream-" + number),
              new DaemonId("entry-1", 1),
              "assistant",
              "council",
              "summaries",
              ServiceClass.STANDARD,
              Repeatability.REPEATABLE,
              true,
              false,
              8,
              TOKENS,
              List.of(),
              number,
              0,
              900,
              14_000);
      LifecyclePolicy policy =
          new LifecyclePolicy(6, 5, 100, 100, 400, 1_500, 80, 600, stallMillis, 2, 300, 3_100);
      Invariants invariants = new Invariants(Invariants.Mode.THROW);
      return new RequestLifecycle(profile, policy, quarantine, invariants, new Random(number));
    }
  }
}
