package org.marjoramsail.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that callers sent for one service, and what arrived at its upstreams, from which the
 * retries of the whole fleet in each window follow.
 *
 * <p>Each arrival beyond the first of a request is a retry, also if the upstream rejects it. The
 * first prefill that an upstream accepts is none. Not thread-safe.
 */
public final class ArrivalLog {

  /** Length of the windows, in milliseconds. */
  public static final long WINDOW_MILLIS = 10_000;

  /**
   * The window with the most retries beyond what is allowed.
   *
   * @param fromMillis its start
   * @param retries the retries in it
   * @param allowed the retries allowed in it
   */
  public record Window(long fromMillis, int retries, double allowed) {
    /** Returns the retries beyond what is allowed; negative if there are none. */
    public double excess() {
      return retries - allowed;
    }
  }

  private static final class Received {
    private boolean arrived;
    private boolean prefilled;
  }

  private final double ratio;
  private final double slack;
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();
  private final List<Long> firstArrivals = new ArrayList<>();
  private final Map<String, Received> received = new HashMap<>();

  /**
   * Creates an empty log.
   *
   * @param ratio retries allowed for each request of a window
   * @param slack retries allowed in addition, for each window
   */
  public ArrivalLog(double ratio, double slack) {
    this.ratio = ratio;
    this.slack = slack;
  }

  /** Records that a caller sent a request, whether it arrives or not. */
  public void requested(long nowMillis) {
    requests.add(nowMillis);
  }

  /** Records that a prefill arrived at an upstream. */
  public void prefillArrived(String request, boolean accepted, long nowMillis) {
    Received before = received.computeIfAbsent(request, id -> new Received());
    if (accepted && !before.prefilled) {
      before.prefilled = true;
    } else {
      arrived(before, nowMillis);
    }
  }

  /** Records that a request arrived at an upstream that is to run it. */
  public void runArrived(String request, long nowMillis) {
    arrived(received.computeIfAbsent(request, id -> new Received()), nowMillis);
  }

  private void arrived(Received before, long nowMillis) {
    (before.arrived ? retries : firstArrivals).add(nowMillis);
    before.arrived = true;
  }

  /** Returns the number of retries in all windows. */
  public int retries() {
    return retries.size();
  }

  /** Returns the window in which the retries exceed what is allowed by most. */
  public Window worstWindow() {
    // Retries are counted least favourably in a window that begins with one of them.
    return retries.stream()
        .map(this::windowFrom)
        .max(Comparator.comparingDouble(Window::excess))
        .orElse(new Window(0, 0, slack));
  }

  /** Returns the most requests that reached an upstream for the first time in any window. */
  public int mostFirstArrivals() {
    return firstArrivals.stream().mapToInt(from -> countFrom(firstArrivals, from)).max().orElse(0);
  }

  private Window windowFrom(long fromMillis) {
    int most = 0;
    for (long earlier : List.of(0L, WINDOW_MILLIS / 2, WINDOW_MILLIS)) {
      most = Math.max(most, countFrom(requests, fromMillis - earlier));
    }
    int count = countFrom(retries, fromMillis);
    return new Window(fromMillis, count, ratio * most + slack);
  }

  private static int countFrom(List<Long> times, long fromMillis) {
    return firstNotBefore(times, fromMillis + WINDOW_MILLIS) - firstNotBefore(times, fromMillis);
  }

  private static int firstNotBefore(List<Long> times, long millis) {
    int low = 0;
    int high = times.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (times.get(middle) < millis) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
