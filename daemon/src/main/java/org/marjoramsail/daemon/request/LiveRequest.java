package org.marjoramsail.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestLifecycle;
import org.marjoramsail.core.time.Clock;

/**
 * One request with its mailbox: events come on any thread, and are handled one after another on the
 * request's own executor. Decisions are made under the shard's lock, actions outside it.
 */
final class LiveRequest {

  private final Object shardLock;
  private final Executor executor;
  private final Clock clock;
  private final TaskScheduler scheduler;
  private final RequestLifecycle lifecycle;
  private final RequestTrace trace;
  private final ActionRunner runner;
  private final Runnable onSettled;
  private final Deque<LifecycleEvent> mailbox = new ArrayDeque<>(2);
  private boolean draining;
  private boolean removed;
  private long timerAtMillis = Long.MAX_VALUE;

  LiveRequest(
      Object shardLock,
      Executor executor,
      Clock clock,
      TaskScheduler scheduler,
      RequestLifecycle lifecycle,
      ActionRunner runner,
      Runnable onSettled) {
    this.shardLock = shardLock;
    this.executor = executor;
    this.clock = clock;
    this.scheduler = scheduler;
    this.lifecycle = lifecycle;
    this.trace = new RequestTrace(lifecycle.profile().receivedAtMillis());
    this.runner = runner;
    this.onSettled = onSettled;
  }

  /**
   * Handles an event on any thread. The end of the caller goes before all that waits. Guards
   * against the failure in which a fast engine fills the mailbox for a reader that takes nothing:
   * the request would end as completed, and others on the same executor would wait until then.
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

  /** What operators see; takes the shard's lock. */
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
    while (more) {
      more = handleNext();
    }
  }

  private boolean handleNext() {
    LifecycleEvent event;
    List<LifecycleAction> actions;
    synchronized (shardLock) {
      event = mailbox.poll();
      if (event == null) {
        draining = false;
        return false;
      }
      long nowMillis = clock.millis();
      actions = lifecycle.handle(event, nowMillis);
      TraceRecorder.recordEvent(trace, nowMillis, lifecycle, event, actions);
    }
    actions.forEach(action -> runner.run(action, this::deliver));
    updateAfterEvent();
    return true;
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

  /** Sets a timer unless an earlier one is set; an early wake only looks and sets the next. */
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
