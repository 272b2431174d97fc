package org.marjoramsail.command.platform;

import java.util.Locale;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;

/** What became of the requests of one kind. */
public final class KindCount {

  private static final int OK = 200;
  private static final int NO_ROOM = 429;
  private static final int NOT_NOW = 503;

  private final String name;
  private int sent;
  private int served;
  private int refused;
  private int failed;
  private int broken;
  private int lost;

  KindCount(String name) {
    this.name = name;
  }

  void sent() {
    sent++;
  }

  void answered(Answer answer) {
    if (!answer.whole()) {
      broken++;
    } else if (answer.status() == OK) {
      served++;
    } else if (answer.status() == NO_ROOM || answer.status() == NOT_NOW) {
      refused++;
    } else {
      failed++;
    }
  }

  void lost() {
    lost++;
  }

  /** The path of its route. */
  public String name() {
    return name;
  }

  /** How many were sent. */
  public int sentCount() {
    return sent;
  }

  /** How many got a whole answer of a server. */
  public int servedCount() {
    return served;
  }

  /** How many were told that they have not run. */
  public int refusedCount() {
    return refused;
  }

  /** How many were told of a failure. */
  public int failedCount() {
    return failed;
  }

  /** How many got an answer that was broken off. */
  public int brokenCount() {
    return broken;
  }

  /** How many got no answer at all. */
  public int lostCount() {
    return lost;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%-12s %5d sent  %5d served  %4d refused  %4d failed  %4d broken off  %4d lost",
        name,
        sent,
        served,
        refused,
        failed,
        broken,
        lost);
  }
}
