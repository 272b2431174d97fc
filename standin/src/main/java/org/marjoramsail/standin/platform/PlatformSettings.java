package org.marjoramsail.standin.platform;

/**
 * How the stand-in for the platform behaves.
 *
 * @param address the IP number to listen on
 * @param port the TCP port to listen on; zero for any
 * @param budget how many calls are answered
 * @param historyEvents how many events are remembered for watches that start at an old version
 * @param maximumObjectBytes largest object, in bytes of its JSON
 * @param bookmarkMillis time between two bookmarks of a watch
 * @param outageMode how an outage shows
 * @param hostListLag how late the host list is
 * @param weights what the weight store gives
 */
public record PlatformSettings(
    String address,
    int port,
    Budget budget,
    int historyEvents,
    int maximumObjectBytes,
    long bookmarkMillis,
    OutageMode outageMode,
    HostListLag hostListLag,
    Weights weights) {

  private static final int MEGABYTE = 1 << 20;

  /** How an outage shows to those who call. */
  public enum OutageMode {
    /** Every call is answered with 503. */
    ANSWERS_UNAVAILABLE,
    /** Connections are refused, and open ones are cut. */
    REFUSES_CONNECTIONS,
    /** Calls are taken and never answered; they take no effect. */
    HANGS
  }

  /**
   * How many calls are answered.
   *
   * @param writesPerSecond budget of writes
   * @param readsPerSecond budget of reads; a watch is one
   * @param burstMillis how much of the budget may be spent at once, in milliseconds of its rate
   */
  public record Budget(double writesPerSecond, double readsPerSecond, long burstMillis) {}

  /**
   * How late the host list is.
   *
   * @param lagMillis how late it is at least
   * @param jitterMillis how much later a change may show, drawn for each change
   */
  public record HostListLag(long lagMillis, int jitterMillis) {}

  /**
   * What the weight store gives.
   *
   * @param bytes size of each version of a model
   * @param bytesPerSecond rate, shared by all loads
   */
  public record Weights(long bytes, long bytesPerSecond) {}

  /**
   * The rates that the users gave for their platform, on a free port of the loopback interface; the
   * lags and the rate of the weight store are assumed.
   */
  public static PlatformSettings defaults() {
    return new PlatformSettings(
        "127.0.0.1",
        0,
        new Budget(400, 2_000, 500),
        1_000,
        MEGABYTE,
        1_000,
        OutageMode.ANSWERS_UNAVAILABLE,
        new HostListLag(2_000, 1_000),
        new Weights(64L * MEGABYTE, 256L * MEGABYTE));
  }

  /** The same on another port. */
  public PlatformSettings withPort(int newPort) {
    return new PlatformSettings(
        address,
        newPort,
        budget,
        historyEvents,
        maximumObjectBytes,
        bookmarkMillis,
        outageMode,
        hostListLag,
        weights);
  }

  /** The same with another kind of outage. */
  public PlatformSettings withOutageMode(OutageMode mode) {
    return new PlatformSettings(
        address,
        port,
        budget,
        historyEvents,
        maximumObjectBytes,
        bookmarkMillis,
        mode,
        hostListLag,
        weights);
  }

  /** The same with another budget. */
  public PlatformSettings withBudget(Budget newBudget) {
    return new PlatformSettings(
        address,
        port,
        newBudget,
        historyEvents,
        maximumObjectBytes,
        bookmarkMillis,
        outageMode,
        hostListLag,
        weights);
  }

  /** The same with another lag of the host list. */
  public PlatformSettings withHostListLag(HostListLag lag) {
    return new PlatformSettings(
        address,
        port,
        budget,
        historyEvents,
        maximumObjectBytes,
        bookmarkMillis,
        outageMode,
        lag,
        weights);
  }
}
