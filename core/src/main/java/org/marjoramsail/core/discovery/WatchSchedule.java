package org.marjoramsail.core.discovery;

import java.util.random.RandomGenerator;

/**
 * How often a list is asked for changes, and how long for each answer. While it answers, a question
 * waits for a change. After a failure questions ask for what there is currentRetryMillis and are
 * given up soon, so that the first answer after an outage is not missed by one that still waits in
 * vain: a question that was to wait for seconds once kept a daemon on old routes for three seconds
 * after the list was back. They become rarer, each at a moment of its own, so that an outage ends
 * without a flood. Not safe for several threads.
 */
public final class WatchSchedule {

  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long LONGEST_RETRY_MILLIS = 500;

  /** What an answer may take beyond the wait that was asked for, in milliseconds. */
  private static final long SHORTEST_RESPONSE_MILLIS = 700;

  /** A list that is slow but alive answers within this time, in milliseconds. */
  private static final long LONGEST_RESPONSE_MILLIS = 1_800;

  /**
   * How long changes are gathered after an answer that had some, in milliseconds. Where upstreams
   * register one after the other, every answer carries one change and wakes every daemon at once;
   * gathered, they cost each daemon three questions a second at most. A tenth or so of the time in
   * which a change has to be in force.
   */
  private static final long GATHER_MILLIS = 350;

  /** What a daemon has for giving up a silent question, asking again and acting on the answer. */
  private static final long REACTION_MILLIS = SHORTEST_RESPONSE_MILLIS + GATHER_MILLIS + 650;

  /** Below this a question is not worth its price; a fleet asks so often at most. */
  private static final long SHORTEST_WAIT_MILLIS = 1_000;

  /** Longer waits save little more. */
  private static final long LONGEST_WAIT_MILLIS = 20_000;

  private final long waitMillis;
  private final RandomGenerator random;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long responseMillis = SHORTEST_RESPONSE_MILLIS;
  private boolean failing;

  /**
   * Starts with short waits.
   *
   * @param waitMillis how long a question waits for a change: the longest time for which a
   *     connection that has gone silent stays unnoticed
   * @param random spreads the questions of a fleet
   */
  public WatchSchedule(long waitMillis, RandomGenerator random) {
    this.waitMillis = waitMillis;
    this.random = random;
  }

  /**
   * How long a question may wait at most so that no bound is missed over a connection that has gone
   * silent without a reset: what is new by the end of the recovery is known in time.
   *
   * @param recoveryMillis for how long after such a fault a daemon may be behind
   * @param changeBoundMillis the shortest time in which a change has to be in force after that
   */
  public static long longestWaitMillis(double recoveryMillis, double changeBoundMillis) {
    long allowed = (long) (recoveryMillis + changeBoundMillis) - REACTION_MILLIS;
    return Math.max(SHORTEST_WAIT_MILLIS, Math.min(LONGEST_WAIT_MILLIS, allowed));
  }

  /** How long to wait before the next question after an answer with so many changes. */
  public long gatherMillis(int changes) {
    return changes == 0 ? 0 : GATHER_MILLIS;
  }

  /** How long a question may wait for a change; not at all after a failure. */
  public long waitMillis() {
    return failing ? 0 : waitMillis;
  }

  /** After how long a question is given up. */
  public long timeoutMillis() {
    return waitMillis() + responseMillis;
  }

  /** Records that a question was answered. */
  public void succeeded() {
    failing = false;
    retryMillis = FIRST_RETRY_MILLIS;
    responseMillis = SHORTEST_RESPONSE_MILLIS;
  }

  /**
   * Whether the whole list has to be read again after an answer to a question for changes.
   *
   * <p>Guards against changes that nobody tells: while a store drops its history, questions are
   * answered without the changes of that moment and with a revision that lies behind them, so that
   * the next question leaves them out for ever. It showed as daemons that stayed on old routes. The
   * revision also rises with changes of other kinds, which are rare.
   *
   * @param changes how many changes the answer had
   * @param before the revision after which changes were asked for
   * @param after the revision that the answer shows
   */
  public boolean mustRelist(int changes, long before, long after) {
    return changes == 0 && after > before;
  }

  /** Records that a question was not answered; gives how long to wait before the next. */
  public long failed() {
    failing = true;
    long currentRetryMillis = retryMillis;
    retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
    responseMillis =
        Math.min(LONGEST_RESPONSE_MILLIS, responseMillis + SHORTEST_RESPONSE_MILLIS / 2);
    return Math.max(1, Math.round(currentRetryMillis * (0.5 + random.nextDouble())));
  }
}
