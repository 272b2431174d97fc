package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Message that informs other daemons of a request whose connection to an upstream was cut, before a
 * crash of the upstream is proven, or that a response has disproved a crash.
 *
 * @param upstream the upstream
 * @param version version of its software, if known
 * @param suspects content of the request, with its shared parts that had given no output; empty if
 *     a crash is disproved
 */
public record CutMessage(
    UpstreamName upstream, Optional<SoftwareVersion> version, List<PartSuspects> suspects)
    implements PeerMessage {

  /** Copies the list, so that the record is immutable. */
  public CutMessage {
    suspects = List.copyOf(suspects);
  }

  /** Returns whether the cuts that were reported before are no sign of a crash. */
  boolean isDisproof() {
    return suspects.isEmpty();
  }
}
