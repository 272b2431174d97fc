package org.marjoramsail.core.outcome;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Message that informs other daemons of a crash of an upstream and of the contents that ran on it.
 *
 * @param upstream the upstream that crashed
 * @param incarnation its incarnation that crashed
 * @param fingerprints the contents that ran on it
 * @param lifetimeMillis time for which the crash is to be stored
 * @param lifted whether these contents are cleared of this crash
 */
public record CrashReportMessage(
    UpstreamName upstream,
    long incarnation,
    List<Long> fingerprints,
    long lifetimeMillis,
    boolean lifted)
    implements PeerMessage {

  /** Copies the list, so that the record is immutable. */
  public CrashReportMessage {
    fingerprints = List.copyOf(fingerprints);
  }
}
