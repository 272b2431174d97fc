package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One direction of an engine's link: its rate is shared evenly by all transfers under way. */
final class Link {

  /** Below this many bytes a transfer counts as done; rounding leaves such remainders. */
  private static final double NOTHING_LEFT = 0.5;

  private static final double MICROS_PER_SECOND = 1_000_000;

  /** One transfer, until it is done or cancelled. */
  static final class Transfer {
    private final Runnable whenDone;
    private double bytesLeft;

    private Transfer(long bytes, Runnable whenDone) {
      this.bytesLeft = bytes;
      this.whenDone = whenDone;
    }
  }

  private final double bytesPerMicro;
  private final Set<Transfer> active = new LinkedHashSet<>();
  private long reachedMicros;

  Link(long bytesPerSecond) {
    this.bytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
  }

  /** Begins a transfer; {@code whenDone} runs in the {@link #advance} that reaches its end. */
  Transfer begin(long nowMicros, long bytes, Runnable whenDone) {
    advance(nowMicros);
    Transfer transfer = new Transfer(bytes, whenDone);
    active.add(transfer);
    return transfer;
  }

  /** Forgets a transfer; no effect on one that is done. */
  void cancel(long nowMicros, Transfer transfer) {
    advance(nowMicros);
    active.remove(transfer);
  }

  /** Moves all transfers up to a time. */
  void advance(long nowMicros) {
    List<Transfer> done = new ArrayList<>();
    double left = Math.max(0, nowMicros - reachedMicros);
    while (left > 0 && !active.isEmpty()) {
      double share = bytesPerMicro / active.size();
      double smallest = active.stream().mapToDouble(t -> t.bytesLeft).min().orElseThrow();
      double span = Math.min(left, smallest / share);
      active.forEach(transfer -> transfer.bytesLeft -= span * share);
      left -= span;
      collectDone(done);
    }
    reachedMicros = Math.max(reachedMicros, nowMicros);
    done.forEach(transfer -> transfer.whenDone.run());
  }

  private void collectDone(List<Transfer> done) {
    for (Transfer transfer : List.copyOf(active)) {
      if (transfer.bytesLeft <= NOTHING_LEFT) {
        active.remove(transfer);
        done.add(transfer);
      }
    }
  }

  int activeCount() {
    return active.size();
  }
}
