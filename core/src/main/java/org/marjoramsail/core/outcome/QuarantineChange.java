package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Locale;
import org.marjoramsail.core.model.UpstreamName;

/**
 * A change of what a quarantine has recorded about some contents or prompt parts.
 *
 * @param kind what has changed
 * @param upstream the upstream on which they ran
 * @param fingerprints the contents or the prompt parts
 * @param source the daemon that reported the change, or what proves it
 */
public record QuarantineChange(
    Kind kind, UpstreamName upstream, List<Long> fingerprints, String source) {

  /** Kind of a change. */
  public enum Kind {
    /** The connection of an attempt was cut; a proof of a crash is awaited. */
    CUT(false),
    /** Another daemon reported a cut, after which a proof of a crash is awaited. */
    CUT_REPORTED(false),
    /** Neither a proof nor a disproof of a crash came in time. */
    UNDECIDED(false),
    /** A response of the upstream disproved a crash. */
    DISPROVED(false),
    /** Another daemon reported that a response disproved a crash. */
    DISPROVED_BY_REPORT(false),
    /** A crash of the upstream is proven. */
    CRASHED(false),
    /** Another daemon reported a crash. */
    REPORTED(false),
    /** The contents are refused from now on. */
    QUARANTINED(false),
    /** The contents are cleared of the crash, since a request completed or an operator said so. */
    CLEARED(false),
    /** Another daemon reported that the contents are cleared of the crash. */
    CLEARED_BY_REPORT(false),
    /** A crash of the upstream is proven; these prompt parts may have caused it. */
    PART_SUSPECTED(true),
    /** Another daemon reported a crash that these prompt parts may have caused. */
    PART_REPORTED(true),
    /** Requests with these prompt parts are refused from now on. */
    PART_QUARANTINED(true),
    /**
     * The prompt parts are cleared, since requests with them gave output or an operator lifted
     * them.
     */
    PART_CLEARED(true),
    /** Another daemon reported that the prompt parts are cleared. */
    PART_CLEARED_BY_REPORT(true);

    private final boolean ofParts;

    Kind(boolean ofParts) {
      this.ofParts = ofParts;
    }

    /** Returns the kind in lower case with hyphens, as logs and counters show it. */
    public String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns whether the change is about prompt parts, not about contents. */
    public boolean isOfParts() {
      return ofParts;
    }
  }

  /** Copies the list, so that the record is immutable. */
  public QuarantineChange {
    fingerprints = List.copyOf(fingerprints);
  }
}
