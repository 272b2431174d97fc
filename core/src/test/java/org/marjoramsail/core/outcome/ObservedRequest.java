package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;

/**
 * One request whose attempts respond in any order and more than once. Compares each action with the
 * first outcome of each attempt.
 */
final class ObservedRequest {

  private enum Outcome {
    SERVED,
    FAILED,
    NOT_RUN,
    LOST
  }

  private static final int STEPS = 11;
  private static final int TOKENS = 3;
  private static final int SENDS = 3;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long STALL_MILLIS = 1_200;
  private static final long SHORT_MILLIS = 150;

  private static final LifecyclePolicy POLICY =
      new LifecyclePolicy(
          SENDS + 4, 5, 100, 100, 400, 1_500, 80, 600, STALL_MILLIS, SENDS, 300, 3_100);

  private static final List<UpstreamFailure> PROVEN =
      List.of(UpstreamFailure.FULL, UpstreamFailure.REFUSED, UpstreamFailure.CONNECT_FAILED);
  private static final List<UpstreamFailure> UNPROVEN =
      List.of(UpstreamFailure.MALFORMED, UpstreamFailure.CUT, UpstreamFailure.EXCESSIVE);

  private final RequestLifecycle lifecycle;
  private final boolean once;
  private final boolean stream;
  private final Map<Integer, Outcome> outcomes = new HashMap<>();
  private final Map<Integer, UpstreamName> targets = new HashMap<>();
  private final Map<Integer, UpstreamName> prefilling = new HashMap<>();
  private final Map<Integer, Integer> nextIndexes = new HashMap<>();
  private final Set<Integer> responding = new HashSet<>();
  private final Set<Integer> open = new HashSet<>();
  private Optional<PlacementRequest> placing = Optional.empty();
  private long nowMillis;
  private int tokens;
  private int lastTokenOf;
  private boolean ended;

  ObservedRequest(Repeatability repeatability, boolean stream) {
    this.once = !repeatability.isResendable();
    this.stream = stream;
    RequestProfile profile =
        new RequestProfile(
            new RequestId("observed"),
            new DaemonId("entry-1", 1),
            "desk",
            "council",
            "notes",
            ServiceClass.STANDARD,
            repeatability,
            stream,
            false,
            stream ? 8 : 0,
            stream ? TOKENS : 0,
            List.of(),
            7,
            0,
            900,
            DEADLINE_MILLIS);
    this.lifecycle =
        new RequestLifecycle(
            profile,
            POLICY,
            new Quarantine(600_000, 500, 100, QuarantineListener.NONE),
            new Invariants(Invariants.Mode.THROW),
            new Random(1));
    handle(new LifecycleEvent.Started());
  }

  /** Does what a number between zero and some thousands stands for. */
  void step(int choice) {
    int rest = choice / STEPS;
    int attempt = 1 + rest % Math.max(1, targets.size());
    switch (choice % STEPS) {
      case 0, 1 -> grant(rest % 2 == 0);
      case 2 -> refusePlacement();
      case 3 -> success(attempt);
      case 4 -> failureResponse(attempt);
      case 5 -> notRun(attempt, PROVEN.get(rest % PROVEN.size()));
      case 6 -> lost(attempt, UNPROVEN.get(rest % UNPROVEN.size()));
      case 7 -> token(attempt);
      case 8 -> passTime(SHORT_MILLIS);
      case 9 -> passTime(STALL_MILLIS);
      default -> prefillEnds(rest);
    }
  }

  /** Grants the placement that is awaited, without a prefill upstream. */
  void grant() {
    assertThat(placing).as("placement").isPresent();
    grant(false);
  }

  private void grant(boolean withPrefill) {
    if (placing.isEmpty()) {
      return;
    }
    PlacementRequest request = placing.get();
    placing = Optional.empty();
    int attempt = request.attempt();
    Optional<UpstreamName> prefill =
        stream && withPrefill
            ? Optional.of(new UpstreamName("prefill-" + attempt))
            : Optional.empty();
    GrantMode streamMode = prefill.isPresent() ? GrantMode.DISAGGREGATED : GrantMode.LOCAL_PREFILL;
    handle(
        new LifecycleEvent.Granted(
            new Grant(
                request.request(),
                attempt,
                stream ? streamMode : GrantMode.PLAIN,
                prefill,
                new UpstreamName("upstream-" + attempt),
                0,
                0)));
  }

  private void refusePlacement() {
    if (placing.isPresent()) {
      int attempt = placing.get().attempt();
      placing = Optional.empty();
      handle(
          new LifecycleEvent.PlacementRefused(
              attempt, Refusal.notRun(RefusalReason.RETRIES_EXHAUSTED, "no budget")));
    }
  }

  private void success(int attempt) {
    if (!targets.containsKey(attempt)) {
      return;
    }
    boolean isAwaited = open.contains(attempt) && !outcomes.containsKey(attempt);
    if (stream && nextIndexes.get(attempt) > 0 && responding.contains(attempt)) {
      outcomes.putIfAbsent(attempt, Outcome.SERVED);
      handle(
          new LifecycleEvent.StreamFinished(
              lifecycle.profile().id(), attempt, nextIndexes.get(attempt), "stop", 8, 0));
    } else if (!stream) {
      outcomes.putIfAbsent(attempt, Outcome.SERVED);
      boolean wasEnded = ended;
      handle(new LifecycleEvent.PlainResponseReceived(attempt));
      assertThat(ended)
          .as("a success that is awaited is delivered")
          .isEqualTo(wasEnded || isAwaited);
    }
  }

  /** Gives the failure response of an upstream, unless its stream has begun. */
  void failureResponse(int attempt) {
    if (targets.containsKey(attempt) && !responding.contains(attempt)) {
      outcomes.putIfAbsent(attempt, Outcome.FAILED);
      handle(new LifecycleEvent.FailureResponseReceived(attempt));
    }
  }

  private void notRun(int attempt, UpstreamFailure failure) {
    if (targets.containsKey(attempt) && !responding.contains(attempt)) {
      outcomes.putIfAbsent(attempt, Outcome.NOT_RUN);
      handle(new LifecycleEvent.UpstreamFailed(attempt, targets.get(attempt), failure));
    }
  }

  /** Ends an attempt without a proof that it did not run. */
  void lost(int attempt) {
    lost(attempt, UpstreamFailure.MALFORMED);
  }

  private void lost(int attempt, UpstreamFailure failure) {
    if (targets.containsKey(attempt)) {
      outcomes.putIfAbsent(attempt, Outcome.LOST);
      handle(new LifecycleEvent.UpstreamFailed(attempt, targets.get(attempt), failure));
    }
  }

  /** Gives the next token of an attempt that has not ended. */
  void token(int attempt) {
    if (!stream || !targets.containsKey(attempt) || outcomes.containsKey(attempt)) {
      return;
    }
    int index = nextIndexes.merge(attempt, 1, Integer::sum) - 1;
    if (responding.add(attempt)) {
      handle(new LifecycleEvent.OutputStarted(attempt, targets.get(attempt), Optional.empty()));
    }
    handle(
        new LifecycleEvent.TokenArrived(
            lifecycle.profile().id(), attempt, index, textOf(attempt, index)));
  }

  private static String textOf(int attempt, int index) {
    return attempt + ":" + index;
  }

  private void prefillEnds(int rest) {
    int attempt = 1 + rest % Math.max(1, lifecycle.attempt());
    UpstreamName upstream = prefilling.get(attempt);
    if (upstream == null) {
      return;
    }
    switch (rest / 16 % 3) {
      case 0 -> handle(new LifecycleEvent.UpstreamFailed(attempt, upstream, UpstreamFailure.FULL));
      case 1 ->
          handle(new LifecycleEvent.UpstreamFailed(attempt, upstream, UpstreamFailure.MALFORMED));
      default ->
          handle(new LifecycleEvent.Prefilled(attempt, "handle-" + attempt, 8, 0, 10, 5_000));
    }
  }

  void passTime(long millis) {
    nowMillis += millis;
    handle(new LifecycleEvent.TimePassed());
  }

  /** Passes the deadline, after which there is one final response. */
  void finish() {
    passTime(DEADLINE_MILLIS);
    assertThat(ended).as("a final response").isTrue();
  }

  private void handle(LifecycleEvent event) {
    if (isLast(event)) {
      open.remove(attemptOf(event));
    }
    for (LifecycleAction action : lifecycle.handle(event, nowMillis)) {
      observe(event, action);
    }
  }

  private static boolean isLast(LifecycleEvent event) {
    return event instanceof LifecycleEvent.PlainResponseReceived
        || event instanceof LifecycleEvent.FailureResponseReceived
        || event instanceof LifecycleEvent.StreamFinished
        || event instanceof LifecycleEvent.UpstreamFailed;
  }

  private static int attemptOf(LifecycleEvent event) {
    if (event instanceof LifecycleEvent.PlainResponseReceived response) {
      return response.attempt();
    }
    if (event instanceof LifecycleEvent.FailureResponseReceived response) {
      return response.attempt();
    }
    if (event instanceof LifecycleEvent.StreamFinished finished) {
      return finished.attempt();
    }
    return ((LifecycleEvent.UpstreamFailed) event).attempt();
  }

  private void observe(LifecycleEvent event, LifecycleAction action) {
    if (action instanceof LifecycleAction.Place place) {
      placing = Optional.of(place.request());
    } else if (action instanceof LifecycleAction.Withdraw) {
      placing = Optional.empty();
    } else if (action instanceof LifecycleAction.SendPrefill send) {
      prefilling.put(send.attempt(), send.upstream());
    } else if (action instanceof LifecycleAction.SendPlain send) {
      sent(send.attempt(), send.upstream(), 0);
    } else if (action instanceof LifecycleAction.SendDecode send) {
      send.kv()
          .ifPresent(
              kv -> {
                assertThat(kv.handle()).as("handle").isEqualTo("handle-" + kv.attempt());
                assertThat(kv.holder()).as("holder").isEqualTo(prefilling.get(kv.attempt()));
              });
      sent(send.attempt(), send.upstream(), send.startIndex());
    } else if (action instanceof LifecycleAction.CloseAttempt close) {
      open.remove(close.attempt());
    } else if (action instanceof LifecycleAction.EmitToken token) {
      emitted(event, token);
    } else if (action instanceof LifecycleAction.DeliverResponse deliver) {
      delivered(event, deliver.attempt());
    } else if (action instanceof LifecycleAction.Complete) {
      completed(event);
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      refused(refuse.refusal());
    }
  }

  private void sent(int attempt, UpstreamName upstream, int startIndex) {
    if (once) {
      assertThat(targets.keySet())
          .as("earlier attempts of a request that may run once")
          .allMatch(earlier -> outcomes.get(earlier) == Outcome.NOT_RUN);
    }
    assertThat(ended).as("sent after the final response").isFalse();
    targets.put(attempt, upstream);
    nextIndexes.put(attempt, startIndex);
    open.add(attempt);
  }

  private void emitted(LifecycleEvent event, LifecycleAction.EmitToken token) {
    assertThat(ended).as("token after the final response").isFalse();
    assertThat(token.index()).as("tokens in order").isEqualTo(tokens);
    assertThat(event).isInstanceOf(LifecycleEvent.TokenArrived.class);
    lastTokenOf = ((LifecycleEvent.TokenArrived) event).attempt();
    assertThat(token.attempt()).as("attempt of a token").isEqualTo(lastTokenOf);
    assertThat(token.text()).as("token").isEqualTo(textOf(lastTokenOf, tokens));
    tokens++;
  }

  private void delivered(LifecycleEvent event, int attempt) {
    end();
    assertThat(tokens).as("tokens before a whole response").isZero();
    if (event instanceof LifecycleEvent.PlainResponseReceived response) {
      assertThat(response.attempt()).as("the attempt that was served").isEqualTo(attempt);
      assertThat(outcomes).containsEntry(attempt, Outcome.SERVED);
      return;
    }
    assertThat(outcomes).containsEntry(attempt, Outcome.FAILED);
    if (nowMillis < DEADLINE_MILLIS) {
      assertThat(open).as("attempts that run beside a failure that is delivered").isEmpty();
    }
  }

  private void completed(LifecycleEvent event) {
    end();
    assertThat(event).isInstanceOf(LifecycleEvent.StreamFinished.class);
    assertThat(outcomes).containsEntry(attemptOf(event), Outcome.SERVED);
    assertThat(lastTokenOf).as("the attempt that ends the output").isEqualTo(attemptOf(event));
  }

  private void refused(Refusal refusal) {
    end();
    if (refusal.runState() == RunState.NOT_RUN) {
      assertThat(targets.keySet())
          .as("attempts of a request that is reported as not run")
          .allMatch(attempt -> outcomes.get(attempt) == Outcome.NOT_RUN);
    }
  }

  private void end() {
    assertThat(ended).as("a second final response").isFalse();
    ended = true;
  }
}
