package org.marjoramsail.standin.plain;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.server.ScaledTime;
import org.marjoramsail.standin.server.UpstreamHost;

/**
 * A plain service for tests, demonstrations and load runs; it counts how often each request ran.
 *
 * <p>Any method and path is a request. It takes effect at the end of its service time, whether or
 * not its client still waits then. The methods for faults and checks may be called from any thread.
 */
public final class PlainServiceStandIn {

  private final PlainSettings settings;
  private final ScaledTime time;
  private final PlainBook book = new PlainBook();
  private final PlainFaults faults;
  private final UpstreamHost host;

  /**
   * Creates an instance with all dependencies; nothing runs before {@link #start()}.
   *
   * @param vertx runs the HTTP side
   * @param settings what the service is
   * @param clock the time, in milliseconds
   * @param random decides which requests meet random faults; used by this service alone
   */
  public PlainServiceStandIn(
      Vertx vertx, PlainSettings settings, Clock clock, RandomGenerator random) {
    this.settings = settings;
    this.time = new ScaledTime(clock, 1);
    this.faults = new PlainFaults(random);
    this.host = new UpstreamHost(vertx, new PlainVerticle(settings, time, faults, book));
  }

  /** Listens, and gives the port. */
  public Future<Integer> start() {
    return host.start();
  }

  /** Stops for good, cutting whatever runs; call {@link #leave()} first for a graceful end. */
  public Future<Void> stop() {
    return host.stop();
  }

  /** Drops all connections and calls, and starts again after some milliseconds. */
  public Future<Void> crash(long downMillis) {
    return host.crash(OptionalLong.of(downMillis));
  }

  /** Drops all connections and calls, and stays down until {@link #restart()}. */
  public Future<Void> crash() {
    return host.crash(OptionalLong.empty());
  }

  /** Comes back on the same port with the next incarnation; no effect on one that is up. */
  public Future<Void> restart() {
    return host.restart();
  }

  /** Makes the next request meet a fault; several calls queue up. */
  public void failNext(PlainFault fault) {
    faults.failNext(fault);
  }

  /**
   * Makes a share of all requests meet a fault.
   *
   * @param fault the fault
   * @param share from 0 to 1
   */
  public void failShare(PlainFault fault, double share) {
    faults.failShare(fault, share);
  }

  /** Stands still for some milliseconds, like a paused process. */
  public void stall(long millis) {
    time.stall(millis);
  }

  /** Makes each request take so many times as long; 1 is normal. */
  public void slowDown(double factor) {
    faults.slowDown(factor);
  }

  /** Refuses all requests as not run while {@code refusing}. */
  public void refuse(boolean refusing) {
    faults.refuse(refusing);
  }

  /** Refuses new work and finishes what it holds. */
  public void leave() {
    faults.leave(true);
  }

  /** Takes new work again after {@link #leave()}. */
  public void comeBack() {
    faults.leave(false);
  }

  /** What it has done so far. */
  public PlainAudit audit() {
    return book.read(settings.name(), settings.slots());
  }

  /** What it was made as. */
  public PlainSettings settings() {
    return settings;
  }
}
