package org.marjoramsail.language;

/** What an order acts on. */
public enum OrderTarget {
  /** The configuration: several such orders can be one change. */
  CONFIGURATION,
  /** A model engine. */
  ENGINE,
  /** A daemon. */
  HOST,
  /** The contents and the prompt parts that are refused because they crashed upstreams. */
  QUARANTINE
}
