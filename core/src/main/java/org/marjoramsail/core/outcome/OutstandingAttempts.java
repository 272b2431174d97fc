package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Attempts of one request for which upstreams may still hold resources, with the cancels in flight.
 *
 * <p>Guards against a lost cancel after which an engine keeps memory for a caller that has
 * disconnected: each cancel is repeated until the upstream confirms it or has restarted.
 */
final class OutstandingAttempts {

  private static final class OutstandingAttempt {
    private final int attempt;
    private final UpstreamName upstream;
    private boolean cancelling;
    private long firstCancelAtMillis;
    private long repeatAtMillis;
    private long waitMillis;

    private OutstandingAttempt(int attempt, UpstreamName upstream) {
      this.attempt = attempt;
      this.upstream = upstream;
    }

    private boolean matches(int otherAttempt, UpstreamName otherUpstream) {
      return attempt == otherAttempt && upstream.equals(otherUpstream);
    }
  }

  private final LifecyclePolicy policy;
  private final BiConsumer<Integer, UpstreamName> releaseListener;
  private final List<OutstandingAttempt> outstanding = new ArrayList<>(2);

  /**
   * Creates an empty list.
   *
   * @param policy intervals between repeated cancels
   * @param releaseListener called for each attempt and upstream that holds no resources any more
   */
  OutstandingAttempts(LifecyclePolicy policy, BiConsumer<Integer, UpstreamName> releaseListener) {
    this.policy = policy;
    this.releaseListener = releaseListener;
  }

  void add(int attempt, UpstreamName upstream) {
    outstanding.add(new OutstandingAttempt(attempt, upstream));
  }

  void release(int attempt, UpstreamName upstream) {
    removeIf(each -> each.matches(attempt, upstream));
  }

  void releaseAll(UpstreamName upstream) {
    removeIf(each -> each.upstream.equals(upstream));
  }

  boolean isOutstanding(int attempt, UpstreamName upstream) {
    return outstanding.stream().anyMatch(each -> each.matches(attempt, upstream));
  }

  private void removeIf(Predicate<OutstandingAttempt> condition) {
    List<OutstandingAttempt> removed = outstanding.stream().filter(condition).toList();
    outstanding.removeAll(removed);
    removed.forEach(each -> releaseListener.accept(each.attempt, each.upstream));
  }

  boolean isEmpty() {
    return outstanding.isEmpty();
  }

  /** Starts to cancel one attempt, unless the upstream holds no resources for it. */
  List<LifecycleAction> cancel(int attempt, UpstreamName upstream, long nowMillis) {
    return cancelIf(each -> each.matches(attempt, upstream), nowMillis);
  }

  /** Starts to cancel one attempt on all its upstreams. */
  List<LifecycleAction> cancel(int attempt, long nowMillis) {
    return cancelIf(each -> each.attempt == attempt, nowMillis);
  }

  /** Starts to cancel all outstanding attempts. */
  List<LifecycleAction> cancelAll(long nowMillis) {
    return cancelIf(each -> true, nowMillis);
  }

  private List<LifecycleAction> cancelIf(Predicate<OutstandingAttempt> condition, long nowMillis) {
    return outstanding.stream()
        .filter(each -> !each.cancelling && condition.test(each))
        .map(each -> startCancel(each, nowMillis))
        .toList();
  }

  /** Repeats the cancels that are due, and abandons those that are too old. */
  List<LifecycleAction> repeatCancels(long nowMillis) {
    List<LifecycleAction> actions = new ArrayList<>();
    for (OutstandingAttempt each : List.copyOf(outstanding)) {
      if (!each.cancelling || nowMillis < each.repeatAtMillis) {
        continue;
      }
      if (nowMillis - each.firstCancelAtMillis >= policy.cancelGiveUpMillis()) {
        removeIf(other -> other == each);
        actions.add(new LifecycleAction.CountDrop(DropReason.ABANDONED_CANCEL));
        continue;
      }
      each.waitMillis = Math.min(policy.cancelRepeatLimitMillis(), each.waitMillis * 2);
      each.repeatAtMillis = nowMillis + each.waitMillis;
      actions.add(new LifecycleAction.Cancel(each.attempt, each.upstream));
    }
    return actions;
  }

  /** Returns when the next cancel is due. */
  Optional<Long> nextRepeatAtMillis() {
    return outstanding.stream()
        .filter(each -> each.cancelling)
        .map(each -> each.repeatAtMillis)
        .min(Long::compare);
  }

  private LifecycleAction startCancel(OutstandingAttempt each, long nowMillis) {
    each.cancelling = true;
    each.firstCancelAtMillis = nowMillis;
    each.waitMillis = policy.cancelRepeatMillis();
    each.repeatAtMillis = nowMillis + each.waitMillis;
    return new LifecycleAction.Cancel(each.attempt, each.upstream);
  }
}
