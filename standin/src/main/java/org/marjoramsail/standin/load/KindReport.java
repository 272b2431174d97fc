package org.marjoramsail.standin.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What came of the requests of one kind.
 *
 * @param kind which
 * @param planned how many were planned
 * @param completed how many were answered whole
 * @param withinTargets how many of these met both latency targets
 * @param late how many of these did not
 * @param refusedByReason how many ended with each typed reason
 * @param firstToken until the first token; for plain services until the answer
 * @param betweenTokens the mean time between tokens of each stream
 * @param whole until the end of the answer
 */
public record KindReport(
    RequestKind kind,
    long planned,
    long completed,
    long withinTargets,
    long late,
    Map<String, Long> refusedByReason,
    Percentiles firstToken,
    Percentiles betweenTokens,
    Percentiles whole) {

  static KindReport of(RequestKind kind, List<RequestOutcome> outcomes) {
    Histogram firstToken = Percentiles.histogram();
    Histogram betweenTokens = Percentiles.histogram();
    Histogram whole = Percentiles.histogram();
    Map<String, Long> refused = new TreeMap<>();
    long completed = 0;
    long withinTargets = 0;
    for (RequestOutcome outcome : outcomes) {
      outcome.reason().ifPresent(reason -> refused.merge(reason, 1L, Long::sum));
      if (outcome.end() != RequestEnd.COMPLETED) {
        continue;
      }
      completed++;
      withinTargets += outcome.isWithinTargets() ? 1 : 0;
      long first = outcome.firstTokenMillis().orElse(outcome.endMillis());
      Percentiles.record(firstToken, (double) first);
      Percentiles.record(whole, (double) outcome.endMillis());
      if (outcome.request().streamed() && outcome.tokens() > 1) {
        Percentiles.record(betweenTokens, outcome.meanTokenGapMillis());
      }
    }
    return new KindReport(
        kind,
        outcomes.size(),
        completed,
        withinTargets,
        completed - withinTargets,
        refused,
        Percentiles.of(firstToken),
        Percentiles.of(betweenTokens),
        Percentiles.of(whole));
  }
}
