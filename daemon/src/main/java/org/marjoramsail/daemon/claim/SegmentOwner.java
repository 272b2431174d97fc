package org.marjoramsail.daemon.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import org.marjoramsail.core.model.DaemonId;

/** Selects the daemon that batches a segment, by rendezvous hashing of segment and host. */
final class SegmentOwner {

  private SegmentOwner() {}

  static DaemonId of(int segment, Collection<DaemonId> live, DaemonId self) {
    return live.stream()
        .max(
            Comparator.<DaemonId>comparingLong(each -> weight(segment, each))
                .thenComparing(each -> each))
        .orElse(self);
  }

  private static long weight(int segment, DaemonId daemon) {
    return Hashing.xxh3_64().hashCharsToLong(segment + "/" + daemon.host());
  }
}
