package org.marjoramsail.core.discovery;

import java.util.OptionalLong;

/**
 * The newest epoch of the store that this daemon has heard of.
 *
 * <p>Guards against answers of both epochs that overtake each other on different connections: one
 * of an epoch that is over would bring back what is gone.
 */
public final class StoreEpoch {

  /** What an answer says by its epoch. */
  public enum Status {
    /** It is of the newest epoch, or the store tells of none. */
    CURRENT,
    /** The store has come back from a copy since the answers before. */
    ADVANCED,
    /** It was made before the store came back, or does not say when. */
    OUTDATED
  }

  private long newest;

  /** Starts before the first answer. */
  public StoreEpoch() {}

  /** The newest epoch; zero while the store has told of none. */
  public long newest() {
    return newest;
  }

  /**
   * Handles the epoch of an answer that was heard now.
   *
   * @param epoch empty where the answer names none, or nothing that is one
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
