package org.marjoramsail.core.outcome;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Tells the other daemons that an upstream crashed, and what ran on it.
 *
 * @param upstream which crashed
 * @param incarnation the run of it that crashed
 * @param fingerprints the contents that ran on it
 * @param lifetimeMillis how long to remember it
 * @param lifted whether an operator has cleared these contents of this crash
 */
public record CrashReportMessage(
    UpstreamName upstream,
    long incarnation,
    List<Long> fingerprints,
    long lifetimeMillis,
    boolean lifted)
    implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public CrashReportMessage {
    fingerprints = List.copyOf(fingerprints);
  }
}
