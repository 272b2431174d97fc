package org.marjoramsail.core.admission;

/**
 * Recent rate and size of the requests of each urgency rank, from which the number of engines
 * follows that are reserved for requests that have not arrived yet.
 */
public final class UrgentDemand {

  /**
   * Time constant of the decay. It covers several arrivals of a route with one request in two
   * seconds, and lets the reserve end within half a minute of the last arrival.
   */
  private static final double MEMORY_MILLIS = 10_000;

  /** Margin above the expected number of arrivals, in standard deviations of that number. */
  private static final double MARGIN_DEVIATIONS = 0.5;

  /** Decayed number of requests below which a rank counts as absent. */
  private static final double LEAST_REQUESTS = 0.01;

  /** At most one in this many engines is reserved. */
  private static final int ENGINES_OF_RESERVE = 4;

  /**
   * Recent requests.
   *
   * @param perMilli arrivals a millisecond
   * @param promptTokens mean length of their prompts and one standard deviation, so that the room
   *     for one request suffices for most of them
   * @param outputTokens mean predicted length of their outputs
   */
  public record Arrivals(double perMilli, int promptTokens, int outputTokens) {

    private static final Arrivals NONE = new Arrivals(0, 0, 0);

    /** Returns the memory that such a request occupies at its end, in tokens. */
    public int memoryTokens() {
      return promptTokens + outputTokens;
    }
  }

  private final double[] requests;
  private final double[] promptTokens;
  private final double[] promptSquares;
  private final double[] outputTokens;
  private long decayedAt;

  /** Creates a demand of which nothing is known. */
  public UrgentDemand(int ranks) {
    requests = new double[ranks];
    promptTokens = new double[ranks];
    promptSquares = new double[ranks];
    outputTokens = new double[ranks];
  }

  /** Records the arrival of a request. */
  public void arrived(int urgency, int prompt, int output, long nowMillis) {
    decay(nowMillis);
    requests[urgency]++;
    promptTokens[urgency] += prompt;
    promptSquares[urgency] += (double) prompt * prompt;
    outputTokens[urgency] += output;
  }

  /** Returns the recent requests that are more urgent than a rank. */
  public Arrivals moreUrgentThan(int urgency, long nowMillis) {
    decay(nowMillis);
    double count = 0;
    double prompts = 0;
    double squares = 0;
    double outputs = 0;
    for (int rank = 0; rank < urgency; rank++) {
      count += requests[rank];
      prompts += promptTokens[rank];
      squares += promptSquares[rank];
      outputs += outputTokens[rank];
    }
    if (count <= 0) {
      return Arrivals.NONE;
    }
    double mean = prompts / count;
    double deviation = Math.sqrt(Math.max(0, squares / count - mean * mean));
    int prompt = (int) Math.round(mean + deviation);
    return new Arrivals(count / MEMORY_MILLIS, prompt, (int) Math.round(outputs / count));
  }

  /** Returns whether requests of a rank or a less urgent one have arrived recently. */
  public boolean isAnyFrom(int urgency, long nowMillis) {
    decay(nowMillis);
    double count = 0;
    for (int rank = urgency; rank < requests.length; rank++) {
      count += requests[rank];
    }
    return count >= LEAST_REQUESTS;
  }

  /**
   * Returns the number of engines that have to keep room for such a request: as many as requests
   * arrive within the time in which an engine gets this room, at most a share of all engines.
   *
   * @param drainMillis time until an engine that takes no further work has room for such a request
   */
  public static int enginesToReserve(Arrivals arrivals, double drainMillis, int engines) {
    double expected = arrivals.perMilli() * drainMillis;
    long wanted = Math.round(expected + MARGIN_DEVIATIONS * Math.sqrt(expected));
    return (int) Math.min(wanted, engines / ENGINES_OF_RESERVE);
  }

  private void decay(long nowMillis) {
    double factor = Math.exp(-Math.max(0, nowMillis - decayedAt) / MEMORY_MILLIS);
    for (int rank = 0; rank < requests.length; rank++) {
      requests[rank] *= factor;
      promptTokens[rank] *= factor;
      promptSquares[rank] *= factor;
      outputTokens[rank] *= factor;
    }
    decayedAt = Math.max(decayedAt, nowMillis);
  }
}
