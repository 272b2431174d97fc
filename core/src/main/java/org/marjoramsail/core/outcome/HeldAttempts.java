package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What upstreams may still hold of one request, and the cancels that are under way.
 *
 * <p>Guards against the failure in which a cancel is lost and an engine keeps memory for a caller
 * who is gone: each cancel is repeated until the upstream confirms it or has started anew.
 */
final class HeldAttempts {

  private static final class Held {
    private final int attempt;
    private final UpstreamName upstream;
    private boolean cancelling;
    private long firstCancelAtMillis;
    private long repeatAtMillis;
    private long waitMillis;

    private Held(int attempt, UpstreamName upstream) {
      this.attempt = attempt;
      this.upstream = upstream;
    }

    private boolean matches(int otherAttempt, UpstreamName otherUpstream) {
      return attempt == otherAttempt && upstream.equals(otherUpstream);
    }
  }

  private final LifecyclePolicy policy;
  private final BiConsumer<Integer, UpstreamName> freed;
  private final List<Held> held = new ArrayList<>(2);

  /**
   * Starts empty.
   *
   * @param policy how often cancels are repeated
   * @param freed hears each attempt and upstream that holds nothing any more
   */
  HeldAttempts(LifecyclePolicy policy, BiConsumer<Integer, UpstreamName> freed) {
    this.policy = policy;
    this.freed = freed;
  }

  void add(int attempt, UpstreamName upstream) {
    held.add(new Held(attempt, upstream));
  }

  void release(int attempt, UpstreamName upstream) {
    removeIf(one -> one.matches(attempt, upstream));
  }

  void releaseAll(UpstreamName upstream) {
    removeIf(one -> one.upstream.equals(upstream));
  }

  boolean isHeld(int attempt, UpstreamName upstream) {
    return held.stream().anyMatch(one -> one.matches(attempt, upstream));
  }

  private void removeIf(Predicate<Held> condition) {
    List<Held> gone = held.stream().filter(condition).toList();
    held.removeAll(gone);
    gone.forEach(one -> freed.accept(one.attempt, one.upstream));
  }

  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Starts to cancel one attempt, unless the upstream is known to hold nothing of it. */
  List<LifecycleAction> cancel(int attempt, UpstreamName upstream, long nowMillis) {
    List<LifecycleAction> actions = new ArrayList<>(1);
    held.stream()
        .filter(one -> one.matches(attempt, upstream) && !one.cancelling)
        .forEach(one -> actions.add(startCancel(one, nowMillis)));
    return actions;
  }

  /** Starts to cancel everything that is held. */
  List<LifecycleAction> cancelAll(long nowMillis) {
    List<LifecycleAction> actions = new ArrayList<>(held.size());
    held.stream()
        .filter(one -> !one.cancelling)
        .forEach(one -> actions.add(startCancel(one, nowMillis)));
    return actions;
  }

  /** Repeats the cancels that are due, and gives up those that are too old. */
  List<LifecycleAction> repeat(long nowMillis) {
    List<LifecycleAction> actions = new ArrayList<>();
    for (Held one : List.copyOf(held)) {
      if (!one.cancelling || nowMillis < one.repeatAtMillis) {
        continue;
      }
      if (nowMillis - one.firstCancelAtMillis >= policy.cancelGiveUpMillis()) {
        removeIf(other -> other == one);
        actions.add(new LifecycleAction.CountDrop(DropReason.ABANDONED_CANCEL));
        continue;
      }
      one.waitMillis = Math.min(policy.cancelRepeatLimitMillis(), one.waitMillis * 2);
      one.repeatAtMillis = nowMillis + one.waitMillis;
      actions.add(new LifecycleAction.Cancel(one.attempt, one.upstream));
    }
    return actions;
  }

  /** When the next cancel is due. */
  Optional<Long> nextRepeatMillis() {
    return held.stream()
        .filter(one -> one.cancelling)
        .map(one -> one.repeatAtMillis)
        .min(Long::compare);
  }

  private LifecycleAction startCancel(Held one, long nowMillis) {
    one.cancelling = true;
    one.firstCancelAtMillis = nowMillis;
    one.waitMillis = policy.cancelRepeatMillis();
    one.repeatAtMillis = nowMillis + one.waitMillis;
    return new LifecycleAction.Cancel(one.attempt, one.upstream);
  }
}
