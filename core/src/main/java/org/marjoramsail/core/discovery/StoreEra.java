package org.marjoramsail.core.discovery;

import java.util.OptionalLong;

/**
 * The newest era of the store that this daemon has heard of.
 *
 * <p>Guards against answers of both eras that overtake each other on different connections: one of
 * an era that is over would bring back what is gone.
 */
public final class StoreEra {

  /** What an answer says by its era. */
  public enum Verdict {
    /** It is of the newest era, or the store tells of none. */
    CURRENT,
    /** The store has come back from a copy since the answers before. */
    RISEN,
    /** It was made before the store came back, or does not say when. */
    OVER
  }

  private long newest;

  /** Starts before the first answer. */
  public StoreEra() {}

  /** The newest era; zero while the store has told of none. */
  public long newest() {
    return newest;
  }

  /**
   * Handles the era of an answer that was heard now.
   *
   * @param era empty where the answer names none, or nothing that is one
   */
  public Verdict heard(OptionalLong era) {
    if (era.isEmpty() || era.getAsLong() < newest) {
      return newest == 0 ? Verdict.CURRENT : Verdict.OVER;
    }
    boolean isFirst = newest == 0;
    boolean isRisen = era.getAsLong() > newest;
    newest = era.getAsLong();
    return isRisen && !isFirst ? Verdict.RISEN : Verdict.CURRENT;
  }
}
