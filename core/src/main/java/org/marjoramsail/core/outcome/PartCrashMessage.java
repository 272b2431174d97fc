package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Message that informs other daemons of a crash of an upstream and of the prompt parts that may
 * have caused it.
 *
 * @param upstream the upstream that crashed
 * @param incarnation its incarnation that crashed
 * @param version version of its software, if known
 * @param suspects the parts of each request that ran on it without output
 * @param lifetimeMillis time for which the crash is to be stored
 */
public record PartCrashMessage(
    UpstreamName upstream,
    long incarnation,
    Optional<SoftwareVersion> version,
    List<PartSuspects> suspects,
    long lifetimeMillis)
    implements PeerMessage {

  /** Copies the list, so that the record is immutable. */
  public PartCrashMessage {
    suspects = List.copyOf(suspects);
  }
}
