package org.marjoramsail.core.outcome;

import java.util.Locale;

/** Condition that holds for every request at all times; each has a counter of violations. */
public enum Invariant {
  /** A request that may run at most once is sent to no second upstream once it may have run. */
  AT_MOST_ONE_SEND,
  /** Nothing is sent to a caller after its final response. */
  SILENT_AFTER_END,
  /** Tokens are sent to a caller in order, without gaps or repeats. */
  TOKENS_IN_ORDER,
  /** The end of each granted attempt is reported exactly once. */
  ONE_END_REPORT,
  /** A keyed request that may run at most once is sent only after its claim was recorded. */
  CLAIM_BEFORE_SEND,
  /** A request is reported as not run only when that is proven. */
  NOT_RUN_IS_PROVEN,
  /** All tokens of a stream come from upstreams of one software version. */
  ONE_SOFTWARE_VERSION;

  /** Returns the invariant in lower case with hyphens, as counters show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
