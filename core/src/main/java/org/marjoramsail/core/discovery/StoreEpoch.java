package org.marjoramsail.core.discovery;

import java.util.OptionalLong;

/**
 * Newest epoch of the store that this daemon has received.
 *
 * <p>Guards against responses of two epochs that arrive out of order on different connections: one
 * of an earlier epoch would restore removed entries.
 */
public final class StoreEpoch {

  /** Epoch of a response, compared with the newest one. */
  public enum Status {
    /** The response has the newest epoch, or the store sends no epochs. */
    CURRENT,
    /** The store was restored from a backup since the responses before. */
    ADVANCED,
    /** The response was made before the store was restored, or has no epoch. */
    OUTDATED
  }

  private long newest;

  /** Creates an instance before the first response. */
  public StoreEpoch() {}

  /** Returns the newest epoch; zero while the store has sent none. */
  public long newest() {
    return newest;
  }

  /**
   * Handles the epoch of a response.
   *
   * @param epoch empty where the response has no valid epoch
   */
  public Status received(OptionalLong epoch) {
    if (epoch.isEmpty() || epoch.getAsLong() < newest) {
      return newest == 0 ? Status.CURRENT : Status.OUTDATED;
    }
    boolean isFirst = newest == 0;
    boolean isNewer = epoch.getAsLong() > newest;
    newest = epoch.getAsLong();
    return isNewer && !isFirst ? Status.ADVANCED : Status.CURRENT;
  }
}
