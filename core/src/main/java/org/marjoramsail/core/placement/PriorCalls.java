package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Whether earlier attempts of a request have reached upstreams, so that another attempt repeats a
 * call.
 *
 * <p>The first prefill that an upstream accepts is part of the first run of a request. A prefill
 * that was rejected or failed counts like a call to a decode upstream: whatever call comes next is
 * a retry.
 *
 * @param prefill whether an upstream has accepted a prefill
 * @param other whether any other call has reached an upstream, even if it was rejected
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PriorCalls(boolean prefill, boolean other) {

  /** No call has reached an upstream. */
  public static final PriorCalls NONE = new PriorCalls(false, false);

  /** Returns whether any call has reached an upstream, so that another attempt needs the budget. */
  public boolean isAny() {
    return prefill || other;
  }

  /**
   * Returns the number of calls that another attempt repeats.
   *
   * @param prefills whether that attempt calls a prefill upstream
   */
  public int repeatedBy(boolean prefills) {
    return (prefill && prefills ? 1 : 0) + (other ? 1 : 0);
  }
}
