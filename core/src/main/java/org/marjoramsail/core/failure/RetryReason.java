package org.marjoramsail.core.failure;

import java.util.Locale;

/** The reason why a request is retried; each has its own counter. */
public enum RetryReason {
  CONNECT_FAILED,
  UPSTREAM_REFUSED,
  UPSTREAM_FULL,
  UPSTREAM_ERROR,
  UPSTREAM_LEAVING,
  UPSTREAM_NOT_ACCEPTING,
  CALLER_LEFT,
  PREFILL_FAILED,
  KV_EXPIRED,
  TRANSFER_FAILED,
  DECODE_FAILED,
  STREAM_CUT,
  RESPONSE_TOO_LARGE,
  OWNER_CHANGED,
  TIMEOUT,
  HEDGE;

  /** Returns the reason in lower case with hyphens, as operators and counters see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
