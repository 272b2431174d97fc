package org.marjoramsail.standin.server;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * An upstream stand-in on its own Vert.x context: its server, its incarnations, its load reports.
 *
 * <p>Subclasses add what the upstream does; all of their methods run on the context.
 */
public abstract class UpstreamVerticle extends VerticleBase {

  /**
   * Where it listens and how it reports.
   *
   * @param address the local address
   * @param port the port, or zero for one that the system chooses
   * @param tickMillis real time between two ticks, in milliseconds
   * @param reportEveryMillis time between two load reports, in scaled milliseconds
   * @param reportLagMillis age at which a load report is first seen, in scaled milliseconds
   * @param timeScale how many times faster than real time the scaled time passes
   */
  public record Frame(
      String address,
      int port,
      long tickMillis,
      long reportEveryMillis,
      long reportLagMillis,
      double timeScale) {}

  private static final long IDLE_TICK_MILLIS = 25;

  /** The time that the upstream lives by. */
  protected final ScaledTime time;

  private final Frame frame;
  private CrashableServer server;
  private StatusHistory<LoadStatus> history;
  private long incarnation;
  private long nextTick;
  private boolean resting;
  private volatile int port;

  /** Takes its time and where it listens. */
  protected UpstreamVerticle(ScaledTime time, Frame frame) {
    this.time = time;
    this.frame = frame;
  }

  /** Makes what serves the requests; called once. */
  protected abstract Handler<HttpServerRequest> makeHandler();

  /** Starts with empty memory. */
  protected abstract void incarnate(long newIncarnation);

  /** Loses all memory, in a crash or a stop. */
  protected abstract void lose();

  /** Counts a crash, after the loss. */
  protected abstract void crashed();

  /** Whether nothing is due by itself. */
  protected abstract boolean isIdle();

  /** Lets happen what is due. */
  protected abstract void tick();

  /** The load now, with age zero. */
  protected abstract LoadStatus currentStatus(long ofIncarnation);

  @Override
  public final Future<?> start() {
    server = new CrashableServer(vertx, time, frame.address(), frame.port(), makeHandler());
    vertx.setTimer(frame.tickMillis(), timer -> tickAgain());
    return begin();
  }

  private Future<Void> begin() {
    incarnation++;
    incarnate(incarnation);
    history =
        new StatusHistory<>(
            frame.reportEveryMillis(),
            frame.reportLagMillis(),
            time.millis(),
            currentStatus(incarnation));
    return server
        .listen()
        .map(
            listening -> {
              port = listening;
              return null;
            });
  }

  /**
   * Ticks, and looks again soon while there is work; an idle upstream looks rarely, so that many
   * fit in one process.
   */
  private void tickAgain() {
    tickUnlessStalled();
    nextTick =
        vertx.setTimer(isIdle() ? IDLE_TICK_MILLIS : frame.tickMillis(), timer -> tickAgain());
    resting = isIdle();
  }

  /** Ends the rest of an idle upstream: work has come. */
  protected final void wake() {
    if (resting && vertx.cancelTimer(nextTick)) {
      resting = false;
      nextTick = vertx.setTimer(frame.tickMillis(), timer -> tickAgain());
    }
  }

  private void tickUnlessStalled() {
    if (time.stalledForMillis() == 0 && server.isUp()) {
      tick();
      history.observe(time.millis(), () -> currentStatus(incarnation));
    }
  }

  /** The load as outsiders see it now; its age is in real milliseconds. */
  protected final LoadStatus visibleStatus() {
    StatusHistory.Aged<LoadStatus> seen = history.visible(time.millis());
    return seen.value().aged(Math.round(seen.ageMillis() / frame.timeScale()));
  }

  /** Whether it listens or is about to. */
  protected final boolean isUp() {
    return server.isUp();
  }

  /**
   * Drops all connections and memory.
   *
   * @param downMillis real milliseconds until it starts again; nothing to stay down
   */
  public final Future<Void> crash(OptionalLong downMillis) {
    if (!server.isUp()) {
      return Future.succeededFuture();
    }
    lose();
    crashed();
    Future<Void> dropped = server.drop();
    downMillis.ifPresent(millis -> vertx.setTimer(Math.max(1, millis), timer -> restart()));
    return dropped;
  }

  /** Starts with the next incarnation, unless it is up. */
  public final Future<Void> restart() {
    return server.isUp() ? Future.succeededFuture() : begin();
  }

  @Override
  public final Future<?> stop() {
    lose();
    return server.close().eventually(this::release);
  }

  /** Lets go of what outlives crashes. */
  protected Future<Void> release() {
    return Future.succeededFuture();
  }

  /** Runs an action on the context, from any thread; fails before the first start. */
  public final Future<Void> call(Supplier<Future<Void>> action) {
    Optional<Context> home = Optional.ofNullable(context);
    if (home.isEmpty()) {
      return Future.failedFuture(
          new IllegalStateException("The stand-in must be started before it is told anything."));
    }
    Promise<Void> done = Promise.promise();
    home.get().runOnContext(ignored -> action.get().onComplete(done));
    return done.future();
  }

  /** The port, once started. */
  public final int port() {
    return port;
  }
}
