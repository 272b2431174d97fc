package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Whether earlier attempts of a request have reached upstreams, so that another attempt repeats a
 * call.
 *
 * @param prefill whether a prefill call has reached an upstream, even if it was rejected
 * @param target whether a call to a decode upstream or a plain service has, even if it was rejected
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PriorCalls(boolean prefill, boolean target) {

  /** No call has reached an upstream. */
  public static final PriorCalls NONE = new PriorCalls(false, false);

  /** Returns whether any call has reached an upstream, so that another attempt needs the budget. */
  public boolean isAny() {
    return prefill || target;
  }

  /**
   * Returns the number of calls that another attempt repeats.
   *
   * @param prefills whether that attempt calls a prefill upstream
   */
  public int repeatedBy(boolean prefills) {
    return (prefill && prefills ? 1 : 0) + (target ? 1 : 0);
  }
}
