package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Collects the messages on cuts for the other daemons.
 *
 * <p>Not safe for several threads; used under the lock of {@link Quarantine}.
 */
final class OutgoingCuts {

  /**
   * Maximum number of cuts that are reported in one period. A daemon that has lost its network
   * paths is cut from all upstreams, which says nothing about contents.
   */
  private static final int MAXIMUM_CUTS = 32;

  private final long periodMillis;
  private final ArrayDeque<CutMessage> messages = new ArrayDeque<>();
  private long periodEndsAtMillis = Long.MIN_VALUE;
  private int cutsInPeriod;

  /**
   * Creates an empty collection.
   *
   * @param periodMillis length of the periods in which the number of cuts is limited
   */
  OutgoingCuts(long periodMillis) {
    this.periodMillis = periodMillis;
  }

  /** Adds a cut, unless too many were added in this period. */
  void cut(UpstreamName upstream, RunningAttempt run, long nowMillis) {
    if (nowMillis >= periodEndsAtMillis) {
      periodEndsAtMillis = nowMillis + periodMillis;
      cutsInPeriod = 0;
    }
    if (cutsInPeriod < MAXIMUM_CUTS) {
      cutsInPeriod++;
      List<SharedPromptPart> parts = run.outputReceived ? List.of() : run.parts;
      PartSuspects suspect = new PartSuspects(run.fingerprint, parts);
      messages.add(new CutMessage(upstream, run.version, List.of(suspect)));
    }
  }

  /** Adds that a response has disproved a crash of an upstream. */
  void disproved(UpstreamName upstream) {
    messages.add(new CutMessage(upstream, Optional.empty(), List.of()));
  }

  /** Removes and returns the messages. */
  List<CutMessage> take() {
    List<CutMessage> taken = List.copyOf(messages);
    messages.clear();
    return taken;
  }
}
