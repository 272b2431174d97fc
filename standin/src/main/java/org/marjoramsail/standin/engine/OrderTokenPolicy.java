package org.marjoramsail.standin.engine;

/** What an engine does with an order whose fencing token is older than one that it has seen. */
public enum OrderTokenPolicy {
  /** It refuses the order. */
  CHECKED(true),
  /** It carries the order out. */
  IGNORED(false);

  private final boolean refusesStale;

  OrderTokenPolicy(boolean refusesStale) {
    this.refusesStale = refusesStale;
  }

  /** Whether an order with {@code token} is refused after one with {@code newest}. */
  boolean refuses(long token, long newest) {
    return refusesStale && token < newest;
  }
}
