package org.marjoramsail.standin.plain;

/**
 * What one plain service stand-in is.
 *
 * @param name the upstream's name
 * @param address the local address that it listens on
 * @param port the port, or zero for one that the system chooses
 * @param slots how many requests it runs at once
 * @param queueLimit how many more it lets wait before it refuses; each of them counts as
 *     over-commitment
 * @param serviceMillis how long a request runs, in real milliseconds
 * @param reportEveryMillis time between two load reports, in milliseconds
 * @param reportLagMillis age at which a load report is first seen, in milliseconds
 */
public record PlainSettings(
    String name,
    String address,
    int port,
    int slots,
    int queueLimit,
    long serviceMillis,
    long reportEveryMillis,
    long reportLagMillis) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Assumed. */
  private static final int SLOTS = 32;

  /** Assumed. */
  private static final int QUEUE_LIMIT = 128;

  /** Assumed: the answer time of a lookup or a small write. */
  private static final long SERVICE_MILLIS = 5;

  /** Assumed, as for engines. */
  private static final long REPORT_EVERY_MILLIS = 250;

  /** Assumed, as for engines. */
  private static final long REPORT_LAG_MILLIS = 250;

  /** A service on loopback with the default limits, on a port that the system chooses. */
  public static PlainSettings of(String name) {
    return new PlainSettings(
        name,
        LOOPBACK,
        0,
        SLOTS,
        QUEUE_LIMIT,
        SERVICE_MILLIS,
        REPORT_EVERY_MILLIS,
        REPORT_LAG_MILLIS);
  }

  /** The same service on a port of its own. */
  public PlainSettings withPort(int newPort) {
    return new PlainSettings(
        name,
        address,
        newPort,
        slots,
        queueLimit,
        serviceMillis,
        reportEveryMillis,
        reportLagMillis);
  }

  /** The same service with other limits and another service time. */
  public PlainSettings withLimits(int newSlots, int newQueueLimit, long newServiceMillis) {
    return new PlainSettings(
        name,
        address,
        port,
        newSlots,
        newQueueLimit,
        newServiceMillis,
        reportEveryMillis,
        reportLagMillis);
  }
}
