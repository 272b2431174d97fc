package org.marjoramsail.core.outcome;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.OptionalInt;
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
 * @param evidence for each content the independent crashes with it up to this one; empty where the
 *     sender does not distinguish them
 */
public record CrashReportMessage(
    UpstreamName upstream,
    long incarnation,
    List<Long> fingerprints,
    long lifetimeMillis,
    boolean lifted,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Integer> evidence)
    implements PeerMessage {

  /** Copies the lists; that of the evidence is null where the encoded message has none. */
  public CrashReportMessage {
    fingerprints = List.copyOf(fingerprints);
    evidence = evidence == null ? List.of() : List.copyOf(evidence);
  }

  /** Creates a report without evidence. */
  public CrashReportMessage(
      UpstreamName upstream,
      long incarnation,
      List<Long> fingerprints,
      long lifetimeMillis,
      boolean lifted) {
    this(upstream, incarnation, fingerprints, lifetimeMillis, lifted, List.of());
  }

  /** Returns the independent crashes with a content up to this one, if the sender states them. */
  OptionalInt evidence(int index) {
    return index < evidence.size() ? OptionalInt.of(evidence.get(index)) : OptionalInt.empty();
  }
}
