package org.marjoramsail.core.configuration;

/** Kind of the upstreams of a service. */
public enum ServiceKind {
  /** Model engines in a prefill and a decode pool. */
  MODEL,
  /** Servers that respond to one HTTP request with one HTTP response. */
  PLAIN
}
