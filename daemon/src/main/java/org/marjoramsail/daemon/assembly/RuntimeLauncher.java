package org.marjoramsail.daemon.assembly;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CompletionException;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.daemon.main.DaemonLauncher;
import org.marjoramsail.daemon.main.LaunchException;
import org.marjoramsail.daemon.main.RunningDaemon;
import org.marjoramsail.daemon.settings.Settings;

/** Starts a daemon as a process of its own; found as a service by the program's entry point. */
public final class RuntimeLauncher implements DaemonLauncher {

  /** Found by name as a service. */
  public RuntimeLauncher() {}

  @Override
  public boolean accepts(Settings settings) {
    return settings.forwarding().isEmpty();
  }

  @Override
  public RunningDaemon launch(Settings settings) throws LaunchException {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.limits().threads()));
    DaemonRuntime runtime =
        new DaemonRuntime(vertx, settings, new SystemClock(), Invariants.Mode.COUNT);
    try {
      return runtime.start().toCompletionStage().toCompletableFuture().join();
    } catch (CompletionException failure) {
      vertx.close();
      throw new LaunchException(
          LaunchException.Failure.ADDRESS,
          settings.listen().toString(),
          "an address to listen on is taken or not one of this host",
          failure.getCause());
    }
  }
}
