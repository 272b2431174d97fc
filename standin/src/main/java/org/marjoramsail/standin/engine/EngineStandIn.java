package org.marjoramsail.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.server.ScaledTime;
import org.marjoramsail.standin.server.UpstreamHost;

/**
 * A model engine for tests, demonstrations and load runs: real HTTP in front, a model of time and
 * memory behind.
 *
 * <p>Many run in one process, each on one Vert.x context. All methods may be called from any
 * thread.
 */
public final class EngineStandIn {

  private final EngineSettings settings;
  private final ScaledTime time;
  private final EngineFaults faults = new EngineFaults();
  private final AuditBook audit = new AuditBook();
  private final EngineVerticle verticle;
  private final UpstreamHost host;

  /**
   * Creates an instance with all dependencies; nothing runs before {@link #start()}.
   *
   * @param vertx runs the HTTP side
   * @param settings what the engine is
   * @param clock the time, in milliseconds
   * @param random decides which cache events are lost; used by this engine alone
   */
  public EngineStandIn(Vertx vertx, EngineSettings settings, Clock clock, RandomGenerator random) {
    this.settings = settings;
    this.time = new ScaledTime(clock, settings.timings().timeScale());
    this.verticle = new EngineVerticle(settings, time, faults, audit, random);
    this.host = new UpstreamHost(vertx, verticle);
  }

  /** Listens, and gives the port. */
  public Future<Integer> start() {
    return host.start();
  }

  /** Stops for good, cutting whatever runs; call {@link #leave()} first for a graceful end. */
  public Future<Void> stop() {
    return host.stop();
  }

  /** Drops all connections and memory, and starts again after some real milliseconds. */
  public Future<Void> crash(long downMillis) {
    return host.crash(OptionalLong.of(downMillis));
  }

  /** Drops all connections and memory, and stays down until {@link #restart()}. */
  public Future<Void> crash() {
    return host.crash(OptionalLong.empty());
  }

  /** Comes back on the same port with the next incarnation; no effect on an engine that is up. */
  public Future<Void> restart() {
    return host.restart();
  }

  /** Stands still for some real milliseconds, like a paused process. */
  public void stall(long millis) {
    time.stall(millis);
  }

  /** Makes each step take so many times as long; 1 is normal. */
  public void slowDown(double factor) {
    faults.slowDown(factor);
  }

  /** Refuses new work and finishes what it holds. */
  public Future<Void> leave() {
    return verticle.call(() -> verticle.leave(true));
  }

  /** Takes new work again after {@link #leave()}. */
  public Future<Void> comeBack() {
    return verticle.call(() -> verticle.leave(false));
  }

  /**
   * Crashes whenever it runs a prompt with this text; it then starts again.
   *
   * @param marker the text, or nothing to run all prompts
   */
  public void crashOnPromptContaining(Optional<String> marker) {
    faults.crashOn(marker);
  }

  /** Makes transfers of KV cache from and to this engine fail. */
  public void failTransfers(boolean failing) {
    faults.failTransfers(failing);
  }

  /** Makes it answer cancels with an error and go on. */
  public void refuseCancels(boolean refusing) {
    faults.refuseCancels(refusing);
  }

  /** What it has done so far. */
  public EngineAudit audit() {
    return audit.read(settings.name(), settings.slots());
  }

  /** What it was made as. */
  public EngineSettings settings() {
    return settings;
  }
}
