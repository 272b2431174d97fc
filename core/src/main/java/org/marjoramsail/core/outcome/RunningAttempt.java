package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.SoftwareVersion;

/** An attempt on an upstream, with what may be the cause if the upstream crashes. */
final class RunningAttempt {

  final long fingerprint;
  final List<SharedPromptPart> parts;
  final Optional<SoftwareVersion> version;

  /** Rises with each attempt that starts, on any upstream. */
  final long sequence;

  /** Independent crashes with its content that were recorded when it started. */
  final int evidenceBefore;

  boolean outputReceived;

  RunningAttempt(
      long fingerprint,
      List<SharedPromptPart> parts,
      Optional<SoftwareVersion> version,
      long sequence,
      int evidenceBefore) {
    this.fingerprint = fingerprint;
    this.parts = parts;
    this.version = version;
    this.sequence = sequence;
    this.evidenceBefore = evidenceBefore;
  }

  /** Returns whether it may crash its upstream if one of these parts crashes upstreams. */
  boolean mayCrashWith(Set<Long> fingerprints) {
    return !outputReceived
        && parts.stream().anyMatch(part -> fingerprints.contains(part.fingerprint()));
  }

  boolean hasFingerprint(long other) {
    return fingerprint == other;
  }
}
