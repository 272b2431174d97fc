package org.marjoramsail.daemon.settings;

/**
 * How requests are placed on upstreams.
 *
 * @param policy the code of the placement policy
 */
public record PlacementSettings(String policy) {

  /** The placement of a daemon whose settings name none. */
  public static final PlacementSettings DEFAULT = new PlacementSettings("reserve");
}
