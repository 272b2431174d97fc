package org.marjoramsail.core.placement;

import java.util.Optional;

/**
 * Memory that the requests on one upstream reserve, in tokens. An upstream whose memory size is
 * unknown is not limited by it.
 */
final class ReservedMemory {

  private final MemoryForecast forecast;
  private int reservedTokens;

  /** Creates the memory of an upstream without requests. */
  ReservedMemory(MemoryForecast forecast) {
    this.forecast = forecast;
  }

  /** Reserves memory for a request from its grant to its end. */
  void reserve(PlacementRequest request) {
    reservedTokens += request.memoryTokens();
    forecast.add(request.request(), request.promptTokens(), request.outputTokens());
  }

  /** Records that a request generates output from now on, so that its memory grows. */
  void generationStarted(PlacementRequest request, long nowMillis) {
    forecast.generationStarted(request.request(), nowMillis);
  }

  /** Releases the memory of a request. */
  void release(PlacementRequest request) {
    reservedTokens -= request.memoryTokens();
    forecast.remove(request.request());
  }

  /** Returns whether the memory suffices for one more request and all others until they end. */
  boolean hasRoomFor(
      int promptTokens,
      int outputTokens,
      Optional<Integer> memoryTokens,
      long nowMillis,
      double millisPerToken) {
    return memoryTokens.isEmpty()
        || forecast.peakTokensWith(promptTokens, outputTokens, nowMillis, millisPerToken)
            <= memoryTokens.get();
  }

  /**
   * Returns the expected time until the memory suffices for one more request, in milliseconds;
   * infinite if it never does.
   */
  double millisUntilRoomFor(
      int promptTokens,
      int outputTokens,
      Optional<Integer> memoryTokens,
      long nowMillis,
      double millisPerToken) {
    return memoryTokens
        .map(
            tokens ->
                forecast.millisUntilRoomFor(
                    promptTokens, outputTokens, tokens, nowMillis, millisPerToken))
        .orElse(0.0);
  }

  /** Returns the predicted peak of the requests that hold it, in tokens. */
  double plannedTokens(long nowMillis, double millisPerToken) {
    return forecast.peakTokens(nowMillis, millisPerToken);
  }

  /** Returns the reserved share of the memory; zero if its size is unknown. */
  double utilisation(Optional<Integer> memoryTokens) {
    return memoryTokens.map(tokens -> reservedTokens / (double) tokens).orElse(0.0);
  }

  /** Returns the number of requests of the given size that fit at once, by slots and memory. */
  static int requestsThatFit(double tokens, int slots, Optional<Integer> memoryTokens) {
    return memoryTokens.isEmpty() || tokens <= 0
        ? slots
        : Math.max(1, (int) Math.min(slots, memoryTokens.get() / tokens));
  }
}
