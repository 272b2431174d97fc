package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.feedback.FeedbackChange;
import org.marjoramsail.core.feedback.UpstreamFeedback;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hears what upstreams say of themselves, shows operators what this host believes since, and has it
 * kept at each send.
 */
public final class UpstreamFeedbackRecorder {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamFeedbackRecorder.class);

  /** A limit that moves a little with each answer is no change of state. */
  private static final Set<FeedbackChange> NOT_LOGGED = Set.of(FeedbackChange.LIMIT_CHANGED);

  private final UpstreamFeedbackTable feedbackTable;
  private final Clock clock;
  private final Map<FeedbackChange, Counter> counters = new EnumMap<>(FeedbackChange.class);

  /**
   * Creates an instance with what it works with.
   *
   * @param feedbackTable what is believed
   * @param meters shows how often beliefs change and how many upstreams they are about
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

  /** Handles what the head of an answer says of the upstream that gave it. */
  public void recordFeedback(UpstreamDefinition upstream, UpstreamFeedback feedback) {
    Set<FeedbackChange> changes =
        feedbackTable.update(upstream.incarnation(), feedback, clock.millis());
    for (FeedbackChange change : changes) {
      counters.get(change).increment();
      if (!NOT_LOGGED.contains(change)) {
        log(upstream, feedback, change);
      }
    }
  }

  /** Whether an upstream wants a request from this host now. */
  public boolean isAccepting(UpstreamDefinition upstream) {
    return feedbackTable.isAccepting(upstream.incarnation(), clock.millis());
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
