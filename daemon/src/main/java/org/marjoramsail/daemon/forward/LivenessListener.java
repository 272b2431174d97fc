package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;

/** Hears signs of life of upstreams, which tell a crash from a lost answer. */
public interface LivenessListener {

  /**
   * An upstream answered something that was sent at that moment or later.
   *
   * @param upstream the life that was believed in when it was sent
   */
  void responded(Incarnation upstream, long sentAtMillis);

  /** No connection to an upstream came about. */
  void connectionFailed(UpstreamName upstream);
}
