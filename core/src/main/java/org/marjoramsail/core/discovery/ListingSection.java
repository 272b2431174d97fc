package org.marjoramsail.core.discovery;

/** A part of what a daemon knows from the lists of the platform. */
public enum ListingSection {
  /** Document of the routes. */
  ROUTES,
  /** Documents of the upstreams. */
  UPSTREAMS
}
