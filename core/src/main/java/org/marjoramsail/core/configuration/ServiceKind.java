package org.marjoramsail.core.configuration;

/** What stands behind a service. */
public enum ServiceKind {
  /** Model engines in a prefill and a decode pool. */
  MODEL,
  /** Servers that answer one HTTP request with one HTTP response. */
  PLAIN
}
