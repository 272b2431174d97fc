package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Stores the cuts that other daemons reported, until a crash is proven or disproved or some time
 * has passed.
 *
 * <p>Not safe for several threads; used under the lock of {@link Quarantine}.
 */
final class ReportedCuts {

  /** Maximum number of stored cuts, which bounds the memory; the oldest is removed first. */
  private static final int MAXIMUM_CUTS = 1_000;

  /** Maximum number of parts of a cut request, which bounds the memory. */
  private static final int MAXIMUM_PARTS = 256;

  private record ReportedCut(DaemonId from, OpenCut cut, long atMillis) {}

  private final long lifetimeMillis;
  private final ArrayDeque<ReportedCut> cuts = new ArrayDeque<>();

  /**
   * Creates an empty store.
   *
   * @param lifetimeMillis time for which a cut is stored
   */
  ReportedCuts(long lifetimeMillis) {
    this.lifetimeMillis = lifetimeMillis;
  }

  /** Stores a report, or removes the cuts that it says are no sign of a crash. */
  void handle(DaemonId from, CutMessage message, long nowMillis) {
    if (message.isDisproof()) {
      remove(from, message.upstream());
      return;
    }
    for (PartSuspects one : message.suspects()) {
      RunningAttempt run =
          new RunningAttempt(
              one.content(),
              one.parts().stream().limit(MAXIMUM_PARTS).toList(),
              message.version(),
              0,
              0);
      cuts.addLast(new ReportedCut(from, new OpenCut(message.upstream(), run), nowMillis));
    }
    while (cuts.size() > MAXIMUM_CUTS) {
      cuts.removeFirst();
    }
  }

  /** Removes the cuts on an upstream that a daemon reported. */
  void remove(DaemonId from, UpstreamName upstream) {
    cuts.removeIf(one -> one.from().equals(from) && one.cut().upstream().equals(upstream));
  }

  /** Removes the cuts with a content, which is cleared. */
  void remove(long fingerprint) {
    cuts.removeIf(one -> one.cut().run().hasFingerprint(fingerprint));
  }

  /** Returns whether a cut of a request with this content is stored. */
  boolean hasContent(long fingerprint) {
    return cuts.stream().anyMatch(one -> one.cut().run().hasFingerprint(fingerprint));
  }

  /** Returns the cuts that are stored. */
  Stream<OpenCut> open(long nowMillis) {
    cuts.removeIf(one -> nowMillis - one.atMillis() >= lifetimeMillis);
    return cuts.stream().map(ReportedCut::cut);
  }
}
