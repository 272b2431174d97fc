package org.marjoramsail.daemon.forward;

import java.util.OptionalLong;

/** Whether the routes in use are known to be the newest. */
public interface RoutesStatus {

  /** Returns the version of the routes in use; zero if there are none. */
  long routesVersion();

  /**
   * Returns whether the routes in use are known to be the newest: the store has confirmed them a
   * short time ago, and no other daemon has told of a newer version.
   */
  boolean areRoutesConfirmed();

  /**
   * Returns the time since the store last confirmed that the routes in use are the newest, in
   * milliseconds; empty if it never did.
   */
  OptionalLong routesConfirmedMillisAgo();
}
