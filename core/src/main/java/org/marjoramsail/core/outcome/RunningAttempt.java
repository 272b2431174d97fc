package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.SoftwareVersion;

/** An attempt on an upstream. */
final class RunningAttempt {

  final long fingerprint;
  final List<SharedPromptPart> parts;
  final Optional<SoftwareVersion> version;
  final long sequence;
  boolean outputReceived;

  RunningAttempt(
      long fingerprint,
      List<SharedPromptPart> parts,
      Optional<SoftwareVersion> version,
      long sequence) {
    this.fingerprint = fingerprint;
    this.parts = parts;
    this.version = version;
    this.sequence = sequence;
  }

  /** Returns whether it would be the cause of a crash that one of these parts causes. */
  boolean mayCrashWith(Set<Long> fingerprints) {
    return !outputReceived
        && parts.stream().anyMatch(part -> fingerprints.contains(part.fingerprint()));
  }

  boolean hasFingerprint(long other) {
    return fingerprint == other;
  }
}
