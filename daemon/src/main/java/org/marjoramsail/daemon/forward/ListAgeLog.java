package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the age of the list of upstreams at each request that is written to one, in a metric, in
 * the log if the list may be outdated, and in the debug log otherwise.
 */
final class ListAgeLog {

  private static final Logger LOG = LoggerFactory.getLogger(ListAgeLog.class);

  /** Longer than the list stays without a response while it can be read, in milliseconds. */
  private static final long OUTDATED_MILLIS = 2_000;

  private final LongSupplier ageMillis;
  private final DistributionSummary ages;

  /**
   * Creates a log.
   *
   * @param ageMillis returns the time since the list last responded, in milliseconds
   */
  ListAgeLog(LongSupplier ageMillis, MeterRegistry meters) {
    this.ageMillis = ageMillis;
    this.ages =
        DistributionSummary.builder("marjoramsail.upstream.calls.list.age.millis")
            .description("Age of the list of upstreams at each request that is sent to one")
            .serviceLevelObjectives(250, 1_000, OUTDATED_MILLIS, 3_000, 5_000, 10_000)
            .register(meters);
  }

  /** Records a call whose request is being written. */
  void written(ForwardCall call) {
    long listMillis = ageMillis.getAsLong();
    ages.record((double) listMillis);
    boolean isOutdated = listMillis > OUTDATED_MILLIS;
    (isOutdated ? LOG.atInfo() : LOG.atDebug())
        .addKeyValue("request", call.request())
        .addKeyValue("upstream", call.upstream())
        .addKeyValue("listMillis", listMillis)
        .log(isOutdated ? "request sent by an outdated list" : "request sent");
  }
}
