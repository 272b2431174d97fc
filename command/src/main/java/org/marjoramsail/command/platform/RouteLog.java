package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * The configurations of a soak by their number of further routes, and the requests that a daemon
 * handled as only an older one allows. Not safe for several threads.
 */
final class RouteLog {

  /** Time after the acknowledgement of a configuration in which it has to be in force. */
  static final long APPLY_MILLIS = 2_000;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private record Change(int routes, long atMillis) {}

  private final List<Change> changes = new ArrayList<>();
  private final List<String> outdated = new ArrayList<>();
  private int requests;
  private int judged;

  /** Creates a log; a configuration without further routes is in force. */
  RouteLog() {
    changes.add(new Change(0, Long.MIN_VALUE / 2));
  }

  /** Records that a configuration with this number of further routes was acknowledged. */
  void changed(int routes, long nowMillis) {
    changes.add(new Change(routes, nowMillis));
  }

  /** Returns the number of further routes of the newest configuration. */
  int newest() {
    return changes.get(changes.size() - 1).routes();
  }

  /** Returns the largest number of further routes of any configuration. */
  int most() {
    return changes.stream().mapToInt(Change::routes).max().orElse(0);
  }

  /**
   * Judges the response to a request for one of the further routes.
   *
   * @param host the daemon that responded
   * @param route number of the route
   * @param sentAtMillis when the request was sent
   * @param isCalm whether neither the daemon nor the store was disturbed
   */
  void responded(String host, int route, int status, long sentAtMillis, boolean isCalm) {
    requests++;
    if (!isCalm) {
      return;
    }
    judged++;
    List<Change> allowed = possiblyInForce(sentAtMillis);
    boolean isRefused =
        status == NOT_FOUND && allowed.stream().allMatch(one -> route < one.routes());
    boolean isDropped = status == OK && allowed.stream().noneMatch(one -> route < one.routes());
    if (isRefused || isDropped) {
      outdated.add(
          (isRefused ? "added route " : "dropped route ")
              + route
              + " at "
              + host
              + ": "
              + status
              + ", sent "
              + (sentAtMillis - allowed.get(0).atMillis())
              + " ms after the acknowledgement");
    }
  }

  private List<Change> possiblyInForce(long sentAtMillis) {
    int oldest = 0;
    for (int index = 0; index < changes.size(); index++) {
      if (changes.get(index).atMillis() + APPLY_MILLIS <= sentAtMillis) {
        oldest = index;
      }
    }
    return changes.subList(oldest, changes.size());
  }

  /** Returns the result. */
  PlatformSoakReport.Routes result() {
    return new PlatformSoakReport.Routes(changes.size() - 1, requests, judged, outdated);
  }
}
