package org.marjoramsail.core.outcome;

import java.util.Locale;

/** What must hold at every moment for every request; each has its counter. */
public enum Invariant {
  /** A request that may run at most once is sent to no second upstream once it may have run. */
  AT_MOST_ONE_SEND,
  /** Nothing goes to a caller after the end of its answer. */
  SILENT_AFTER_END,
  /** Tokens go to a caller in order, without a gap or a repeat. */
  TOKENS_IN_ORDER,
  /** Each granted attempt is reported as ended exactly once. */
  ONE_END_REPORT,
  /** A keyed request that may run at most once is sent only after its claim was recorded. */
  CLAIM_BEFORE_SEND,
  /** A request is called not run only when that is proven. */
  NOT_RUN_IS_PROVEN;

  /** The invariant in lower case with hyphens, as counters see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
