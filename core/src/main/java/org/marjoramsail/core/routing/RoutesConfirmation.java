package org.marjoramsail.core.routing;

import java.util.OptionalLong;

/**
 * Knows whether the routes in use are the newest: the store has said so a short time ago, and no
 * other daemon has told of a newer version since. Routes that another daemon sent are in use
 * unconfirmed until the store is read. Not safe for several threads.
 */
public final class RoutesConfirmation {

  private OptionalLong confirmedAtMillis = OptionalLong.empty();
  private long validMillis;
  private boolean failing;

  /**
   * Records a response of the store after which the routes in use are the newest.
   *
   * @param newValidMillis time within which the next response is expected, in milliseconds
   */
  public void confirmed(long nowMillis, long newValidMillis) {
    confirmedAtMillis = OptionalLong.of(nowMillis);
    validMillis = newValidMillis;
    failing = false;
  }

  /** Records that the store could not be read, or has routes that cannot be used. */
  public void failed() {
    failing = true;
  }

  /** Returns whether the routes in use are known to be the newest, as far as the store tells. */
  public boolean isConfirmed(long nowMillis) {
    OptionalLong age = ageMillis(nowMillis);
    return !failing && age.isPresent() && age.getAsLong() <= validMillis;
  }

  /** Returns the time since the last confirmation, in milliseconds; empty if there was none. */
  public OptionalLong ageMillis(long nowMillis) {
    return confirmedAtMillis.isPresent()
        ? OptionalLong.of(nowMillis - confirmedAtMillis.getAsLong())
        : OptionalLong.empty();
  }
}
