package org.marjoramsail.daemon.placement;

import java.util.List;
import org.marjoramsail.core.model.DaemonId;

/**
 * Rank of a daemon among the owners of a shard, in its own view.
 *
 * <p>Grants of more than one daemon for the same shard show that daemons disagree on its owner.
 */
enum OwnerRank {
  /** No other daemon is known. */
  ALONE("alone"),
  /** Ranks first among several daemons. */
  FIRST("first"),
  /** Grants in place of a daemon that ranks before it. */
  STANDBY("standby");

  private final String code;

  OwnerRank(String code) {
    this.code = code;
  }

  /**
   * Returns the rank of a daemon.
   *
   * @param owners daemons that may own the shard, best first
   */
  static OwnerRank of(DaemonId daemon, List<DaemonId> owners) {
    if (owners.size() == 1) {
      return ALONE;
    }
    return owners.get(0).equals(daemon) ? FIRST : STANDBY;
  }

  /** Returns the value of the metric's tag. */
  String code() {
    return code;
  }
}
