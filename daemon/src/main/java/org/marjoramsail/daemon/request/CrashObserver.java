package org.marjoramsail.daemon.request;

import java.util.function.Consumer;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.CrashReportMessage;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.upstream.UpstreamObserver;
import org.marjoramsail.daemon.upstream.UpstreamStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns from polls which upstreams crashed: tells the quarantine, the requests that ran there and
 * the other daemons, and passes the poll on.
 */
public final class CrashObserver implements UpstreamObserver {

  private static final Logger LOG = LoggerFactory.getLogger(CrashObserver.class);

  private final Quarantine quarantine;
  private final RequestRegistry registry;
  private final Consumer<CrashReportMessage> broadcast;
  private final UpstreamObserver next;
  private final Clock clock;

  /**
   * Creates an instance with all that it needs.
   *
   * @param quarantine contents that crash upstreams
   * @param registry requests that may have run on an upstream that crashed
   * @param broadcast sends a message to all other daemons
   * @param next hears every poll after this
   * @param clock tells the time
   */
  public CrashObserver(
      Quarantine quarantine,
      RequestRegistry registry,
      Consumer<CrashReportMessage> broadcast,
      UpstreamObserver next,
      Clock clock) {
    this.quarantine = quarantine;
    this.registry = registry;
    this.broadcast = broadcast;
    this.next = next;
    this.clock = clock;
  }

  @Override
  public void load(LoadReport report, long requestedAtMillis) {
    long asOfMillis = requestedAtMillis - report.ageMillis();
    boolean restarted =
        quarantine.incarnation(report.upstream(), report.incarnation(), asOfMillis, clock.millis());
    if (restarted) {
      LOG.atWarn()
          .addKeyValue("upstream", report.upstream())
          .addKeyValue("incarnation", report.incarnation())
          .log("upstream has started anew");
      registry.upstreamRestarted(report.upstream());
    }
    broadcastMessages();
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
      broadcastMessages();
    }
    next.unreachable(upstream, connectionRefused);
  }

  /** Sends what the quarantine has found or an operator has lifted; cheap when there is nothing. */
  public void broadcastMessages() {
    quarantine.takeMessages().forEach(broadcast);
  }
}
