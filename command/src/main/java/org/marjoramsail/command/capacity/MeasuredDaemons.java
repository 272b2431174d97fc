package org.marjoramsail.command.capacity;

import io.vertx.core.Future;
import java.util.OptionalLong;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.command.fleet.FleetDaemonFactory;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.daemon.assembly.DaemonRuntime;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.settings.Settings;

/** Starts daemons that all share one event loop, whose processor time can be read. */
final class MeasuredDaemons implements FleetDaemonFactory {

  private final MeasuredLoop loop = new MeasuredLoop();

  MeasuredLoop loop() {
    return loop;
  }

  @Override
  public Future<FleetDaemon> start(Settings settings) {
    return new DaemonRuntime(loop.vertx(), settings, new SystemClock(), Invariants.Mode.THROW)
        .start()
        .map(runtime -> new MeasuredDaemon(runtime, loop));
  }

  /** A daemon on the measured loop. */
  private record MeasuredDaemon(DaemonRuntime runtime, MeasuredLoop loop) implements FleetDaemon {

    @Override
    public int callerPort() {
      return runtime.callerPort();
    }

    @Override
    public int operatorPort() {
      return runtime.operatorPort();
    }

    @Override
    public int peerPort() {
      return runtime.peerPort();
    }

    /** The only daemon of its fleet decides for every service. */
    @Override
    public boolean isDecidingFor(String service) {
      return true;
    }

    @Override
    public Future<Void> stop() {
      return Future.fromCompletionStage(runtime.stop(phase -> {})).mapEmpty();
    }

    @Override
    public OptionalLong violations() {
      return OptionalLong.of(runtime.violations());
    }

    @Override
    public Future<Void> kill() {
      return loop.close();
    }

    @Override
    public void pause(long millis) {
      throw new UnsupportedOperationException("A measured daemon is not paused.");
    }
  }
}
