package org.marjoramsail.core.discovery;

import java.util.random.RandomGenerator;

/**
 * Timing of the requests that watch a list for changes.
 *
 * <p>While the list responds, a request waits for a change. After a failure, requests ask for the
 * current state and have a short timeout, so that the end of an outage is noticed soon instead of
 * after a long wait on a dead connection. They become rarer, with jitter, so that an outage does
 * not end with a burst of requests. Not safe for several threads.
 */
public final class WatchSchedule {

  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long LONGEST_RETRY_MILLIS = 500;

  /** Time that a response may take beyond the requested wait, in milliseconds. */
  private static final long SHORTEST_RESPONSE_MILLIS = 700;

  /** Upper limit of that time, for a list that responds slowly, in milliseconds. */
  private static final long LONGEST_RESPONSE_MILLIS = 1_800;

  /**
   * Time for which changes are gathered after a response that had some, in milliseconds. Without it
   * each upstream that registers would wake every daemon; with it a daemon sends at most three
   * requests a second. It is about a tenth of the time in which a change has to be in force.
   */
  private static final long GATHER_MILLIS = 350;

  /**
   * Time that a daemon needs to time out a request, to send it again twice if the first of these
   * fails as well, and to apply the response.
   */
  private static final long REACTION_MILLIS = 2 * SHORTEST_RESPONSE_MILLIS + GATHER_MILLIS + 150;

  /** Shorter waits would cost a fleet too many requests. */
  private static final long SHORTEST_WAIT_MILLIS = 1_000;

  /** Longer waits would save few requests. */
  private static final long LONGEST_WAIT_MILLIS = 20_000;

  private final long waitMillis;
  private final RandomGenerator random;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long responseMillis = SHORTEST_RESPONSE_MILLIS;
  private boolean failing;

  /**
   * Creates a schedule for a list that responds.
   *
   * @param waitMillis time that a request waits for a change, which is also the longest time for
   *     which a dead connection stays unnoticed
   * @param random source of the jitter
   */
  public WatchSchedule(long waitMillis, RandomGenerator random) {
    this.waitMillis = waitMillis;
    this.random = random;
  }

  /**
   * Returns the longest wait of a request with which a daemon is up to date in time, even after a
   * connection has died without a reset while the request waited.
   *
   * @param recoveryMillis time after such a fault for which a daemon may be outdated
   */
  public static long longestWaitMillis(double recoveryMillis) {
    long allowed = (long) recoveryMillis - REACTION_MILLIS;
    return Math.max(SHORTEST_WAIT_MILLIS, Math.min(LONGEST_WAIT_MILLIS, allowed));
  }

  /** Returns the wait before the next request after a response with this number of changes. */
  public long gatherMillis(int changes) {
    return changes == 0 ? 0 : GATHER_MILLIS;
  }

  /** Returns how long a request waits for a change; zero after a failure. */
  public long waitMillis() {
    return failing ? 0 : waitMillis;
  }

  /** Returns the time within which the next response is expected while the list responds. */
  public long nextResponseMillis() {
    return waitMillis + SHORTEST_RESPONSE_MILLIS + GATHER_MILLIS;
  }

  /** Returns the time that a response may take beyond the requested wait. */
  public long responseMillis() {
    return responseMillis;
  }

  /** Returns the timeout of a request. */
  public long timeoutMillis() {
    return waitMillis() + responseMillis;
  }

  /** Records a response. */
  public void succeeded() {
    failing = false;
    retryMillis = FIRST_RETRY_MILLIS;
    responseMillis = SHORTEST_RESPONSE_MILLIS;
  }

  /**
   * Returns whether the complete list has to be read again after a response to a watch request.
   *
   * <p>Guards against lost changes: while a store compacts its history, it may respond without the
   * changes of that moment and with a later revision, so that the next request would skip them. The
   * revision also rises with unrelated changes, which are rare.
   *
   * @param changes number of changes in the response
   * @param before revision after which changes were requested
   * @param after revision in the response
   */
  public boolean mustRelist(int changes, long before, long after) {
    return changes == 0 && after > before;
  }

  /** Records a failed request; returns the wait before the next one. */
  public long failed() {
    failing = true;
    long currentRetryMillis = retryMillis;
    retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
    responseMillis =
        Math.min(LONGEST_RESPONSE_MILLIS, responseMillis + SHORTEST_RESPONSE_MILLIS / 2);
    return Math.max(1, Math.round(currentRetryMillis * (0.5 + random.nextDouble())));
  }
}
