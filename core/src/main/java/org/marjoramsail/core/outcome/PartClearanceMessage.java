package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * Message that informs other daemons that prompt parts are cleared of the crashes of upstreams.
 *
 * @param version software version on which they are cleared, if known
 * @param parts fingerprints of the parts
 * @param lifted whether an operator lifted them; otherwise requests with them gave output
 */
public record PartClearanceMessage(
    Optional<SoftwareVersion> version, List<Long> parts, boolean lifted) implements PeerMessage {

  /** Copies the list, so that the record is immutable. */
  public PartClearanceMessage {
    parts = List.copyOf(parts);
  }
}
