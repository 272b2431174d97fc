package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.model.RequestId;

/**
 * Predicts the peak memory of the requests on one decode upstream, in tokens.
 *
 * <p>A request occupies its prompt at once, grows with each token and frees all of it when it ends.
 * Counting the full lengths from the start would leave memory idle; counting the present lengths
 * would let the requests outgrow the memory, so that the upstream preempts one and prefills its
 * prompt again. The peak is therefore computed at each expected end of a request, with the lengths
 * of the others at that time.
 */
final class MemoryForecast {

  /**
   * Safety margin above the expected peak, in standard deviations of the remaining lengths.
   *
   * <p>A preempted stream is prefilled again and misses its deadline, which costs about as much as
   * two and a half streams that end in time; a waiting stream costs only itself.
   */
  private static final double SAFETY_MARGIN_DEVIATIONS = 0.3;

  private static final long NOT_GENERATING = Long.MAX_VALUE;

  private static final class TrackedRequest {
    private final int promptTokens;
    private final int expectedTokens;
    private long generatingSince = NOT_GENERATING;

    TrackedRequest(int promptTokens, int expectedTokens) {
      this.promptTokens = promptTokens;
      this.expectedTokens = expectedTokens;
    }

    double generated(long nowMillis, double millisPerToken) {
      return generatingSince == NOT_GENERATING
          ? 0
          : Math.max(0, nowMillis - generatingSince) / millisPerToken;
    }
  }

  /** Memory that a request occupies now and its expected remaining growth. */
  private record RequestMemory(double held, OutputLengthDistribution.Remaining remaining) {
    double mean() {
      return remaining.mean();
    }
  }

  private final OutputLengthDistribution outputLengths;
  private final Map<RequestId, TrackedRequest> trackedRequests = new HashMap<>();

  /** Creates a forecast that uses the given distribution of output lengths. */
  MemoryForecast(OutputLengthDistribution outputLengths) {
    this.outputLengths = outputLengths;
  }

  /** Adds a request that will run on the upstream. */
  void add(RequestId request, int promptTokens, int expectedTokens) {
    trackedRequests.put(request, new TrackedRequest(promptTokens, expectedTokens));
  }

  /** Records that a request generates output from now on. */
  void generationStarted(RequestId request, long nowMillis) {
    TrackedRequest tracked = trackedRequests.get(request);
    if (tracked != null && tracked.generatingSince == NOT_GENERATING) {
      tracked.generatingSince = nowMillis;
    }
  }

  /** Removes a request that no longer uses memory on the upstream. */
  void remove(RequestId request) {
    trackedRequests.remove(request);
  }

  /**
   * Returns the expected time until enough requests have ended for one more to fit, in
   * milliseconds; infinite if it does not fit alone.
   *
   * @param memoryTokens memory of the upstream
   */
  double millisUntilRoomFor(
      int promptTokens,
      int expectedTokens,
      int memoryTokens,
      long nowMillis,
      double millisPerToken) {
    double missing =
        promptTokens + outputLengths.remaining(expectedTokens, 0).mean() - memoryTokens;
    if (missing > 0) {
      return Double.POSITIVE_INFINITY;
    }
    List<RequestMemory> running = tracked(nowMillis, millisPerToken);
    for (RequestMemory memory : running) {
      missing += memory.held() + memory.mean();
    }
    running.sort(Comparator.comparingDouble(RequestMemory::mean));
    double untilTokens = 0;
    for (RequestMemory ending : running) {
      if (missing > 0) {
        missing -= ending.held() + ending.mean();
        untilTokens = ending.mean();
      }
    }
    return untilTokens * millisPerToken;
  }

  /**
   * Returns the predicted peak memory of all requests and one more, in tokens, with a safety margin
   * for the uncertainty of the output lengths.
   *
   * @param millisPerToken generation time of one token
   */
  double peakTokensWith(
      int promptTokens, int expectedTokens, long nowMillis, double millisPerToken) {
    List<RequestMemory> all = tracked(nowMillis, millisPerToken);
    all.add(new RequestMemory(promptTokens, outputLengths.remaining(expectedTokens, 0)));
    return peakTokens(all);
  }

  /** Returns the predicted peak memory of the requests, with the same safety margin. */
  double peakTokens(long nowMillis, double millisPerToken) {
    return peakTokens(tracked(nowMillis, millisPerToken));
  }

  private List<RequestMemory> tracked(long nowMillis, double millisPerToken) {
    List<RequestMemory> all = new ArrayList<>(trackedRequests.size() + 1);
    for (TrackedRequest one : trackedRequests.values()) {
      double generated = one.generated(nowMillis, millisPerToken);
      all.add(
          new RequestMemory(
              one.promptTokens + generated,
              outputLengths.remaining(one.expectedTokens, generated)));
    }
    return all;
  }

  private static double peakTokens(List<RequestMemory> all) {
    if (all.size() == 1) {
      // Without others nothing is preempted, so that a request needs no margin.
      return all.get(0).held() + all.get(0).mean();
    }
    all.sort(Comparator.comparingDouble(RequestMemory::mean));
    double heldByLater = all.stream().mapToDouble(RequestMemory::held).sum();
    double peak = 0;
    for (int position = 0; position < all.size(); position++) {
      RequestMemory ending = all.get(position);
      int remainingRequests = all.size() - position;
      peak = Math.max(peak, heldByLater + remainingRequests * ending.mean());
      heldByLater -= ending.held();
    }
    double variance = all.stream().mapToDouble(one -> one.remaining().variance()).sum();
    return peak + SAFETY_MARGIN_DEVIATIONS * Math.sqrt(variance);
  }
}
