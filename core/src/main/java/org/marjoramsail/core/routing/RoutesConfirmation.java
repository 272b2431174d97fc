package org.marjoramsail.core.routing;

import java.util.OptionalLong;

/**
 * Knows when the routes in use were last confirmed to be the newest by the store. Not safe for
 * several threads.
 */
public final class RoutesConfirmation {

  private OptionalLong confirmedAtMillis = OptionalLong.empty();

  /** Records a response of the store after which the routes in use are the newest. */
  public void confirmed(long nowMillis) {
    confirmedAtMillis = OptionalLong.of(nowMillis);
  }

  /** Returns the time since the last confirmation, in milliseconds; empty if there was none. */
  public OptionalLong ageMillis(long nowMillis) {
    return confirmedAtMillis.isPresent()
        ? OptionalLong.of(nowMillis - confirmedAtMillis.getAsLong())
        : OptionalLong.empty();
  }
}
