package org.marjoramsail.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.LifecycleState;
import org.marjoramsail.core.outcome.RequestLifecycle;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.core.time.Clock;

/**
 * A registered request and the queue of its events. Events arrive on any thread and are handled one
 * after another on the executor of the request. The lifecycle decides under the lock of the shard;
 * its actions run outside the lock.
 *
 * <p>An exception or error ends the request with a refusal, and its further events are still
 * handled. This guards against a caller that gets neither a response nor a refusal.
 */
final class LiveRequest {

  private final Object shardLock;
  private final Executor executor;
  private final CallerPresence caller;
  private final Clock clock;
  private final TaskScheduler scheduler;
  private final RequestLifecycle lifecycle;
  private final RequestTrace trace;
  private final ActionRunner runner;
  private final Runnable sendReports;
  private final Runnable onSettled;
  private final Deque<LifecycleEvent> mailbox = new ArrayDeque<>(2);
  private boolean draining;
  private boolean removed;
  private boolean failed;
  private long timerAtMillis = Long.MAX_VALUE;

  LiveRequest(
      Object shardLock,
      Executor executor,
      CallerPresence caller,
      Clock clock,
      TaskScheduler scheduler,
      RequestLifecycle lifecycle,
      ActionRunner runner,
      Runnable sendReports,
      Runnable onSettled) {
    this.shardLock = shardLock;
    this.executor = executor;
    this.caller = caller;
    this.clock = clock;
    this.scheduler = scheduler;
    this.lifecycle = lifecycle;
    this.trace = new RequestTrace(lifecycle.profile().receivedAtMillis());
    this.runner = runner;
    this.sendReports = sendReports;
    this.onSettled = onSettled;
  }

  /**
   * Queues an event; may be called on any thread. The end of the caller's side precedes all queued
   * events. This guards against a fast engine that fills the queue of a caller that does not read:
   * the request would end as completed, and block others on the same executor until then.
   */
  void deliver(LifecycleEvent event) {
    synchronized (shardLock) {
      if (event instanceof LifecycleEvent.CallerEnded
          || event instanceof LifecycleEvent.CallerDisconnected) {
        mailbox.addFirst(event);
      } else {
        mailbox.addLast(event);
      }
      if (draining) {
        return;
      }
      draining = true;
    }
    executor.execute(this::drain);
  }

  RequestProfile profile() {
    return lifecycle.profile();
  }

  /** Returns whether it waits for a place at an upstream; takes the lock of the shard. */
  boolean isWaiting() {
    synchronized (shardLock) {
      LifecycleState state = lifecycle.state();
      return state == LifecycleState.PLACING || state == LifecycleState.BACKING_OFF;
    }
  }

  /** Returns the current state for operators; takes the lock of the shard. */
  RequestSnapshot snapshot() {
    synchronized (shardLock) {
      return new RequestSnapshot(
          lifecycle.profile().id(),
          lifecycle.profile().service(),
          lifecycle.profile().organisation(),
          lifecycle.profile().rule(),
          lifecycle.profile().serviceClass(),
          lifecycle.state(),
          lifecycle.attempt(),
          lifecycle.grant().flatMap(grant -> grant.prefill()),
          lifecycle.grant().map(grant -> grant.target()),
          lifecycle.emittedTokens(),
          clock.millis() - lifecycle.profile().receivedAtMillis(),
          trace.steps(),
          trace.longestGap());
    }
  }

  private void drain() {
    boolean more = true;
    boolean isInterrupted = true;
    try {
      while (more) {
        more = handleNext();
      }
      isInterrupted = false;
    } finally {
      if (isInterrupted) {
        drainLater();
      }
    }
  }

  /** Handles the remaining events after the end of a request has failed. */
  private void drainLater() {
    synchronized (shardLock) {
      draining = !mailbox.isEmpty();
      if (!draining) {
        return;
      }
    }
    executor.execute(this::drain);
  }

  private boolean handleNext() {
    LifecycleEvent event;
    synchronized (shardLock) {
      event = mailbox.poll();
      if (event == null) {
        draining = false;
        return false;
      }
    }
    try {
      handleUnlessCallerHasLeft(event);
    } catch (RuntimeException | Error failure) {
      endAfter(failure);
    }
    return true;
  }

  /**
   * Handles an event. If it could start work and the caller has left, the departure is handled
   * first: the event loop may not have read the close of the connection yet.
   */
  private void handleUnlessCallerHasLeft(LifecycleEvent event) {
    LifecycleState state;
    synchronized (shardLock) {
      state = lifecycle.state();
    }
    if (event instanceof LifecycleEvent.CallerDisconnected) {
      handleDeparture(state);
      return;
    }
    if (event.mayStartWork() && state != LifecycleState.ENDED && !caller.isPresent()) {
      handleDeparture(state);
    } else if (state != LifecycleState.ENDED && isUnsent(event)) {
      runner.dropped(state);
    }
    handle(event);
  }

  private void handleDeparture(LifecycleState state) {
    int attempt = attempt();
    Optional<UpstreamName> unsentTo =
        state.isRunning() ? runner.upstreamOfUnsent(attempt) : Optional.empty();
    boolean isWaiting = state != LifecycleState.ENDED && !state.isRunning();
    if (isWaiting || unsentTo.isPresent()) {
      runner.dropped(state);
    }
    handle(departure(attempt, unsentTo));
  }

  /** Returns the event that ends the request; an unsent call fails, so that it is withdrawn. */
  private static LifecycleEvent departure(int attempt, Optional<UpstreamName> unsentTo) {
    return unsentTo
        .<LifecycleEvent>map(
            upstream ->
                new LifecycleEvent.UpstreamFailed(attempt, upstream, UpstreamFailure.CALLER_LEFT))
        .orElseGet(LifecycleEvent.CallerDisconnected::new);
  }

  private int attempt() {
    synchronized (shardLock) {
      return lifecycle.attempt();
    }
  }

  private static boolean isUnsent(LifecycleEvent event) {
    return event instanceof LifecycleEvent.UpstreamFailed failed
        && failed.failure() == UpstreamFailure.CALLER_LEFT;
  }

  private void handle(LifecycleEvent event) {
    List<LifecycleAction> actions = decide(event);
    try {
      reportCut(event);
    } finally {
      runAll(actions);
    }
    updateAfterEvent();
  }

  /**
   * Reports a cut to the other daemons before the caller gets a response, after which it may repeat
   * the request on another daemon.
   */
  private void reportCut(LifecycleEvent event) {
    if (event instanceof LifecycleEvent.UpstreamFailed failed && failed.failure().mayBeCrash()) {
      sendReports.run();
    }
  }

  private List<LifecycleAction> decide(LifecycleEvent event) {
    synchronized (shardLock) {
      long nowMillis = clock.millis();
      List<LifecycleAction> actions = lifecycle.handle(event, nowMillis);
      TraceRecorder.recordEvent(trace, nowMillis, lifecycle, event, actions);
      return actions;
    }
  }

  /** Runs all actions, also those after a failed one, which may release resources of upstreams. */
  private void runAll(List<LifecycleAction> actions) {
    Optional<Throwable> failure = Optional.empty();
    for (LifecycleAction action : actions) {
      try {
        runner.run(action, this::deliver);
      } catch (RuntimeException | Error thrown) {
        failure = Optional.of(thrown);
      }
    }
    failure.ifPresent(this::endAfter);
  }

  /**
   * Ends the request after an exception or error: refuses it, unless its final response was sent,
   * and cancels its attempts. The log comes last, since it may fail for the same cause.
   *
   * <p>The lifecycle refuses it the first time. After a second failure, or if the lifecycle has
   * ended, the caller is refused directly.
   */
  private void endAfter(Throwable failure) {
    boolean mayRefuse;
    synchronized (shardLock) {
      mayRefuse = lifecycle.state() != LifecycleState.ENDED && !failed;
      failed = true;
    }
    if (mayRefuse) {
      deliver(new LifecycleEvent.CallerEnded(ActionRunner.INTERNAL_FAILURE));
    } else {
      runner.refuseUnlessResponded();
    }
    runner.failedInternally(failure);
  }

  private void updateAfterEvent() {
    boolean remove;
    synchronized (shardLock) {
      remove = lifecycle.isSettled() && !removed;
      removed |= remove;
      lifecycle.nextWakeMillis().ifPresent(this::scheduleWake);
    }
    if (remove) {
      onSettled.run();
    }
  }

  /** Sets a timer unless an earlier one is pending; that one sets the next when it fires. */
  private void scheduleWake(long atMillis) {
    if (atMillis >= timerAtMillis) {
      return;
    }
    timerAtMillis = atMillis;
    scheduler.schedule(Math.max(1, atMillis - clock.millis()), () -> timerFired(atMillis));
  }

  private void timerFired(long atMillis) {
    synchronized (shardLock) {
      if (removed) {
        return;
      }
      if (timerAtMillis == atMillis) {
        timerAtMillis = Long.MAX_VALUE;
      }
    }
    deliver(new LifecycleEvent.TimePassed());
  }
}
