package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.CacheEvent;
import org.marjoramsail.core.placement.LoadReport;

/** Hears what {@link UpstreamWatch} finds; on any thread. */
public interface UpstreamListener {

  /**
   * An upstream said how it is.
   *
   * @param askedAtMillis when it was asked, on the clock of this daemon
   */
  void reported(LoadReport report, long askedAtMillis);

  /** An upstream did not answer several times in a row, or answers again. */
  void reachable(UpstreamName upstream, boolean reachable);

  /** An upstream said what its prefix cache holds. */
  void cached(CacheEvent event);
}
