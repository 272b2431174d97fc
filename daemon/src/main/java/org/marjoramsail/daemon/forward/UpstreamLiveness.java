package org.marjoramsail.daemon.forward;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.ListedIncarnation;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports responses, refused connections and restarts of upstreams to the quarantine. */
public final class UpstreamLiveness implements LivenessListener {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamLiveness.class);

  /** Replaces the start time of an upstream that reports none. */
  private static final long DEFAULT_START_MILLIS = 1;

  /**
   * An entry stays in the list after its upstream has failed, so that it does not count as a
   * response.
   */
  private static final long NO_RESPONSE_MILLIS = Long.MIN_VALUE;

  private static final int MAXIMUM_ENDS = 1_000;

  private static final long UNKNOWN_END = Long.MAX_VALUE;

  /** Before all requests: none of them ran on an incarnation that has ended. */
  private static final long NO_END = Long.MIN_VALUE;

  /** Longest time of a restart plus the error of the clock of an upstream, in milliseconds. */
  private static final long RESTART_MILLIS = 5_000;

  /** Receives upstreams that have restarted. */
  @FunctionalInterface
  public interface RestartListener {
    /**
     * Handles a restart, after which nothing runs that was sent before its earlier incarnation had
     * ended.
     *
     * @param endedAtMillis when it had ended, on the clock of this daemon
     */
    void restarted(UpstreamName upstream, long endedAtMillis);
  }

  private final Quarantine quarantine;
  private final Clock clock;
  private final RestartListener restarted;
  private final Runnable sendReports;
  private final Map<String, UpstreamName> namesByAddress = new HashMap<>();

  /** When an upstream was last seen to close or refuse a connection. */
  private final Map<UpstreamName, Long> endedAtMillis =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamName, Long> eldest) {
          return size() > MAXIMUM_ENDS;
        }
      };

  /**
   * Creates an instance.
   *
   * @param quarantine counts at most one crash for each incarnation
   * @param clock returns the current time
   * @param restarted receives upstreams that have restarted
   * @param sendReports sends the new reports of the quarantine to the other daemons
   */
  public UpstreamLiveness(
      Quarantine quarantine, Clock clock, RestartListener restarted, Runnable sendReports) {
    this.quarantine = quarantine;
    this.clock = clock;
    this.restarted = restarted;
    this.sendReports = sendReports;
  }

  /** Handles an upstream that the list has for the first time, or in a new incarnation. */
  public void listed(UpstreamDefinition upstream) {
    Incarnation incarnation = upstream.incarnation();
    ListedIncarnation listed = recordListed(incarnation);
    if (listed != ListedIncarnation.UNCHANGED) {
      LOG.atInfo()
          .addKeyValue("upstream", incarnation)
          .addKeyValue("start", listed)
          .log("upstream has started again");
      restarted.restarted(upstream.name(), endOfEarlierIncarnation(upstream, listed));
    }
    UpstreamName before =
        namesByAddress.put(upstream.address() + ":" + upstream.port(), upstream.name());
    if (before != null && !before.equals(upstream.name())) {
      quarantine.addressTakenOver(before, clock.millis());
    }
    sendReports.run();
  }

  /**
   * Returns when the earlier incarnation of an upstream had ended: when this daemon last saw one of
   * its connections end, shortly before the start that the new one states or later. Where it saw
   * none, nothing shows which requests run on the new one, and all count as lost, unless the entry
   * may be a late one of an incarnation before the one that runs.
   */
  private long endOfEarlierIncarnation(UpstreamDefinition upstream, ListedIncarnation listed) {
    long startMillis = Math.min(clock.millis(), upstream.incarnation().startedAtMillis());
    Long seenAtMillis = endedAtMillis.remove(upstream.name());
    boolean isOfThisRestart = seenAtMillis != null && seenAtMillis >= startMillis - RESTART_MILLIS;
    if (isOfThisRestart) {
      return seenAtMillis;
    }
    return listed == ListedIncarnation.EARLIER_START ? NO_END : UNKNOWN_END;
  }

  @Override
  public void connectionLost(UpstreamName upstream) {
    endedAtMillis.put(upstream, clock.millis());
  }

  @Override
  public void responded(Incarnation upstream, long sentAtMillis) {
    quarantine.responded(upstream.upstream(), start(upstream), sentAtMillis, clock.millis());
  }

  @Override
  public void connectionRefused(UpstreamName upstream) {
    endedAtMillis.put(upstream, clock.millis());
    quarantine.connectionsRefused(upstream, clock.millis());
    sendReports.run();
  }

  @Override
  public void reached(UpstreamName upstream, long startedAtMillis) {
    quarantine.reached(upstream, startedAtMillis);
  }

  @Override
  public boolean mayHaveCrashed(UpstreamName upstream) {
    return quarantine.mayHaveCrashed(upstream, clock.millis());
  }

  private ListedIncarnation recordListed(Incarnation upstream) {
    UpstreamName name = upstream.upstream();
    if (upstream.startedAtMillis() == Incarnation.UNKNOWN_START) {
      quarantine.incarnation(name, start(upstream), NO_RESPONSE_MILLIS, clock.millis());
      return ListedIncarnation.UNCHANGED;
    }
    boolean connectionsEnded = endedAtMillis.containsKey(name);
    return quarantine.listed(name, start(upstream), connectionsEnded, clock.millis());
  }

  private static long start(Incarnation upstream) {
    return Math.max(DEFAULT_START_MILLIS, upstream.startedAtMillis());
  }
}
