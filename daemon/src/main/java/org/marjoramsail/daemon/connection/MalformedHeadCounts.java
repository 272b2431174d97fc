package org.marjoramsail.daemon.connection;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Number of responses whose head broke the grammar, by rule. Thread-safe. */
public final class MalformedHeadCounts {

  /** Name of the counter, with the tags {@code client} and {@code rule}. */
  public static final String METER = "marjoramsail.responses.malformed";

  private final Map<HeadRule, LongAdder> counts = new EnumMap<>(HeadRule.class);

  /** Creates an instance without any counted responses. */
  public MalformedHeadCounts() {
    for (HeadRule rule : HeadRule.values()) {
      counts.put(rule, new LongAdder());
    }
  }

  /** Counts a response. */
  public void add(HeadRule rule) {
    counts.get(rule).increment();
  }

  /** Returns the number of responses that broke a rule. */
  public long count(HeadRule rule) {
    return counts.get(rule).sum();
  }

  /**
   * Registers a counter for each rule.
   *
   * @param client whose responses are counted
   */
  public void registerWith(MeterRegistry meters, String client) {
    for (HeadRule rule : HeadRule.values()) {
      Tags tags = Tags.of("client", client, "rule", rule.code());
      meters.more().counter(METER, tags, this, counts -> (double) counts.count(rule));
    }
  }
}
