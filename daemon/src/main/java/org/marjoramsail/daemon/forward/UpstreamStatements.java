package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.condition.ConditionChange;
import org.marjoramsail.core.condition.UpstreamConditions;
import org.marjoramsail.core.condition.UpstreamStatement;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hears what upstreams say of themselves, shows operators what this host believes since, and has it
 * kept at each send.
 */
public final class UpstreamStatements {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamStatements.class);

  /** A limit that moves a little with each answer is no change of state. */
  private static final Set<ConditionChange> NOT_LOGGED = Set.of(ConditionChange.LIMIT_CHANGED);

  private final UpstreamConditions conditions;
  private final Clock clock;
  private final Map<ConditionChange, Counter> counters = new EnumMap<>(ConditionChange.class);

  /**
   * Creates an instance with what it works with.
   *
   * @param conditions what is believed
   * @param meters shows how often beliefs change and how many upstreams they are about
   */
  public UpstreamStatements(UpstreamConditions conditions, Clock clock, MeterRegistry meters) {
    this.conditions = conditions;
    this.clock = clock;
    for (ConditionChange change : ConditionChange.values()) {
      counters.put(
          change, meters.counter("marjoramsail.upstream.statements", "change", change.code()));
    }
    String gauge = "marjoramsail.upstreams.stated.";
    meters.gauge(gauge + "limited", conditions, believed -> (double) believed.limited());
    meters.gauge(gauge + "leaving", conditions, believed -> (double) believed.leaving());
    meters.gauge(
        gauge + "paused", conditions, believed -> (double) believed.paused(clock.millis()));
  }

  /** Handles what the head of an answer says of the upstream that gave it. */
  public void heard(UpstreamDefinition upstream, UpstreamStatement statement) {
    Set<ConditionChange> changes =
        conditions.heard(upstream.incarnation(), statement, clock.millis());
    for (ConditionChange change : changes) {
      counters.get(change).increment();
      if (!NOT_LOGGED.contains(change)) {
        log(upstream, statement, change);
      }
    }
  }

  /** Whether an upstream wants a request from this host now. */
  public boolean isAccepting(UpstreamDefinition upstream) {
    return conditions.isAccepting(upstream.incarnation(), clock.millis());
  }

  private static void log(
      UpstreamDefinition upstream, UpstreamStatement statement, ConditionChange change) {
    LOG.atInfo()
        .addKeyValue("upstream", upstream.incarnation())
        .addKeyValue("service", upstream.service())
        .addKeyValue("change", change.code())
        .addKeyValue("requestsPerSecond", statement.requestsPerSecond().orElse(null))
        .addKeyValue("leaving", statement.leaving())
        .addKeyValue("pauseMillis", statement.pauseMillis().orElse(null))
        .log("upstream said of itself");
  }
}
