package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.feedback.FeedbackChange;
import org.marjoramsail.core.feedback.UpstreamFeedback;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the feedback of upstreams in a table, counts and logs its changes, and answers before
 * each send whether an upstream accepts requests.
 */
public final class UpstreamFeedbackRecorder {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamFeedbackRecorder.class);

  /** Rate limits may change slightly with each response, so their changes are not logged. */
  private static final Set<FeedbackChange> NOT_LOGGED = Set.of(FeedbackChange.LIMIT_CHANGED);

  private final UpstreamFeedbackTable feedbackTable;
  private final Clock clock;

  /**
   * Minimum time between log lines on invalid feedback, which an upstream may send with each
   * response, in milliseconds.
   */
  private static final long UNREADABLE_LOG_MILLIS = 10_000;

  private final AtomicLong lastUnreadableLog = new AtomicLong(Long.MIN_VALUE / 2);
  private final Map<FeedbackChange, Counter> counters = new EnumMap<>(FeedbackChange.class);

  /**
   * Creates a recorder.
   *
   * @param feedbackTable the latest feedback of all upstreams
   * @param meters counts changes and shows how many upstreams are limited, leaving and paused
   */
  public UpstreamFeedbackRecorder(
      UpstreamFeedbackTable feedbackTable, Clock clock, MeterRegistry meters) {
    this.feedbackTable = feedbackTable;
    this.clock = clock;
    for (FeedbackChange change : FeedbackChange.values()) {
      counters.put(
          change, meters.counter("marjoramsail.upstream.statements", "change", change.code()));
    }
    String gauge = "marjoramsail.upstreams.stated.";
    meters.gauge(gauge + "limited", feedbackTable, table -> (double) table.limited());
    meters.gauge(gauge + "leaving", feedbackTable, table -> (double) table.leaving());
    meters.gauge(gauge + "paused", feedbackTable, table -> (double) table.paused(clock.millis()));
  }

  /** Records the feedback in the head of a response. */
  public void recordFeedback(UpstreamDefinition upstream, UpstreamFeedback feedback) {
    Set<FeedbackChange> changes =
        feedbackTable.update(upstream.incarnation(), feedback, clock.millis());
    for (FeedbackChange change : changes) {
      counters.get(change).increment();
      if (!NOT_LOGGED.contains(change)
          && (change != FeedbackChange.UNREADABLE || isUnreadableLogDue())) {
        log(upstream, feedback, change);
      }
    }
  }

  /** Returns whether an upstream accepts a request from this host now. */
  public boolean isAccepting(UpstreamDefinition upstream) {
    return feedbackTable.isAccepting(upstream.incarnation(), clock.millis());
  }

  private boolean isUnreadableLogDue() {
    long last = lastUnreadableLog.get();
    long now = clock.millis();
    return now - last >= UNREADABLE_LOG_MILLIS && lastUnreadableLog.compareAndSet(last, now);
  }

  private static void log(
      UpstreamDefinition upstream, UpstreamFeedback feedback, FeedbackChange change) {
    LOG.atInfo()
        .addKeyValue("upstream", upstream.incarnation())
        .addKeyValue("service", upstream.service())
        .addKeyValue("change", change.code())
        .addKeyValue("requestsPerSecond", feedback.requestsPerSecond().orElse(null))
        .addKeyValue("leaving", feedback.leaving())
        .addKeyValue("pauseMillis", feedback.pauseMillis().orElse(null))
        .log("upstream said of itself");
  }
}
