package org.marjoramsail.daemon.request;

import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.upstream.UpstreamObserver;
import org.marjoramsail.daemon.upstream.UpstreamStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects crashed upstreams from the results of polls, notifies the quarantine, the registered
 * requests and the other daemons, and passes the results to the next observer.
 */
public final class CrashObserver implements UpstreamObserver {

  private static final Logger LOG = LoggerFactory.getLogger(CrashObserver.class);

  private final Quarantine quarantine;
  private final RequestRegistry registry;
  private final Runnable sendReports;
  private final UpstreamObserver next;
  private final Clock clock;

  /**
   * Creates an observer.
   *
   * @param quarantine detects requests whose content crashes upstreams
   * @param registry the requests that may have run on a crashed upstream
   * @param sendReports sends the new reports of the quarantine to the other daemons
   * @param next receives each result after this observer
   * @param clock the clock
   */
  public CrashObserver(
      Quarantine quarantine,
      RequestRegistry registry,
      Runnable sendReports,
      UpstreamObserver next,
      Clock clock) {
    this.quarantine = quarantine;
    this.registry = registry;
    this.sendReports = sendReports;
    this.next = next;
    this.clock = clock;
  }

  @Override
  public void load(LoadReport report, long requestedAtMillis) {
    long asOfMillis = requestedAtMillis - report.ageMillis();
    boolean restarted =
        quarantine.incarnation(report.upstream(), report.incarnation(), asOfMillis, clock.millis());
    quarantine.reached(report.upstream(), asOfMillis);
    if (restarted) {
      LOG.atWarn()
          .addKeyValue("upstream", report.upstream())
          .addKeyValue("incarnation", report.incarnation())
          .log("upstream restarted");
      registry.upstreamRestarted(report.upstream());
    }
    sendReports.run();
    next.load(report, requestedAtMillis);
  }

  @Override
  public void status(UpstreamDefinition definition, UpstreamStatus status) {
    next.status(definition, status);
  }

  @Override
  public void unreachable(UpstreamName upstream, boolean connectionRefused) {
    if (connectionRefused) {
      quarantine.connectionsRefused(upstream, clock.millis());
      sendReports.run();
    }
    next.unreachable(upstream, connectionRefused);
  }
}
