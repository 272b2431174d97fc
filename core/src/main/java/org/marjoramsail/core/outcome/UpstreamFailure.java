package org.marjoramsail.core.outcome;

import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.placement.AttemptResult;

/** Failure of a call to an upstream, with what it proves. */
public enum UpstreamFailure {
  /** No connection was established, so that nothing was sent. */
  CONNECT_FAILED(true, RetryReason.CONNECT_FAILED, AttemptResult.CONNECT_FAILED),
  /** The upstream responded that it did not run the request. */
  REFUSED(true, RetryReason.UPSTREAM_REFUSED, AttemptResult.REFUSED),
  /** The upstream responded that it had no capacity and did not run the request. */
  FULL(true, RetryReason.UPSTREAM_FULL, AttemptResult.FULL),
  /** The upstream responded that it is draining and did not run the request. */
  LEAVING(true, RetryReason.UPSTREAM_LEAVING, AttemptResult.REFUSED),
  /** Nothing was sent: the upstream is draining or has requested a pause from this host. */
  NOT_ACCEPTING(true, RetryReason.UPSTREAM_NOT_ACCEPTING, AttemptResult.CANCELLED),
  /** Nothing was sent: the caller has closed its connection. */
  CALLER_LEFT(true, RetryReason.CALLER_LEFT, AttemptResult.CANCELLED),
  /** The decode upstream responded that the KV cache had expired before it could start. */
  KV_EXPIRED(true, RetryReason.KV_EXPIRED, AttemptResult.KV_LOST),
  /** The decode upstream responded that it could not fetch the KV cache and did not start. */
  TRANSFER_FAILED(true, RetryReason.TRANSFER_FAILED, AttemptResult.KV_LOST),
  /** The connection was cut after the send. */
  CUT(false, RetryReason.STREAM_CUT, AttemptResult.FAILED),
  /** The response violated the protocol. */
  MALFORMED(false, RetryReason.DECODE_FAILED, AttemptResult.FAILED),
  /** The response was larger than a response may be. */
  EXCESSIVE(false, RetryReason.RESPONSE_TOO_LARGE, AttemptResult.FAILED),
  /** No progress was made for too long after the send. */
  TIMED_OUT(false, RetryReason.TIMEOUT, AttemptResult.TIMED_OUT);

  private final boolean notRun;
  private final RetryReason retryReason;
  private final AttemptResult attemptResult;

  UpstreamFailure(boolean notRun, RetryReason retryReason, AttemptResult attemptResult) {
    this.notRun = notRun;
    this.retryReason = retryReason;
    this.attemptResult = attemptResult;
  }

  /**
   * Returns whether the failure proves that the upstream did not run the request and holds no
   * resources for it.
   */
  public boolean isNotRun() {
    return notRun;
  }

  /** Returns whether the upstream never received the request. */
  public boolean isNeverSent() {
    return this == CONNECT_FAILED || this == NOT_ACCEPTING || this == CALLER_LEFT;
  }

  /** Returns the reason of a retry after this failure. */
  public RetryReason retryReason() {
    return retryReason;
  }

  /** Returns the result of the attempt that is reported to placement. */
  public AttemptResult attemptResult() {
    return attemptResult;
  }

  /** Returns whether the upstream may have crashed, so that what ran on it becomes suspect. */
  public boolean mayBeCrash() {
    return this == CUT;
  }
}
