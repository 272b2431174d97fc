package org.marjoramsail.core.outcome;

import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.placement.AttemptResult;

/** How a call to an upstream failed, and what that proves. */
public enum UpstreamFailure {
  /** No connection came about, so that nothing was sent. */
  CONNECT_FAILED(true, RetryReason.CONNECT_FAILED, AttemptResult.CONNECT_FAILED),
  /** The upstream said that it did not run the request. */
  REFUSED(true, RetryReason.UPSTREAM_REFUSED, AttemptResult.REFUSED),
  /** The upstream said that it had no room just now and did not run the request. */
  FULL(true, RetryReason.UPSTREAM_FULL, AttemptResult.FULL),
  /** The upstream said that it is leaving and did not run the request. */
  LEAVING(true, RetryReason.UPSTREAM_LEAVING, AttemptResult.REFUSED),
  /** Nothing was sent: the upstream leaves, or wants nothing from this host for now. */
  NOT_ACCEPTING(true, RetryReason.UPSTREAM_NOT_ACCEPTING, AttemptResult.CANCELLED),
  /** The decode upstream said that the KV cache was gone before it could begin. */
  KV_EXPIRED(true, RetryReason.KV_EXPIRED, AttemptResult.KV_LOST),
  /** The decode upstream said that it could not fetch the KV cache and did not begin. */
  TRANSFER_FAILED(true, RetryReason.TRANSFER_FAILED, AttemptResult.KV_LOST),
  /** The connection was cut after the send. */
  CUT(false, RetryReason.STREAM_CUT, AttemptResult.FAILED),
  /** The answer broke the protocol. */
  MALFORMED(false, RetryReason.DECODE_FAILED, AttemptResult.FAILED),
  /** Nothing came for too long after the send. */
  TIMED_OUT(false, RetryReason.TIMEOUT, AttemptResult.TIMED_OUT);

  private final boolean notRun;
  private final RetryReason retryReason;
  private final AttemptResult attemptResult;

  UpstreamFailure(boolean notRun, RetryReason retryReason, AttemptResult attemptResult) {
    this.notRun = notRun;
    this.retryReason = retryReason;
    this.attemptResult = attemptResult;
  }

  /** Whether it proves that the upstream did not run the request and holds nothing of it. */
  public boolean isNotRun() {
    return notRun;
  }

  /** Whether the upstream never met the request, not even to turn it away. */
  public boolean isNeverSent() {
    return this == CONNECT_FAILED || this == NOT_ACCEPTING;
  }

  /** Why a retry after it happens. */
  public RetryReason retryReason() {
    return retryReason;
  }

  /** What placement hears of the attempt. */
  public AttemptResult attemptResult() {
    return attemptResult;
  }

  /** Whether the upstream itself may have died, so that what ran on it becomes suspect. */
  public boolean mayBeCrash() {
    return this == CUT;
  }
}
