package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;

/** A daemon of a local fleet that is a process of its own. */
final class ProcessFleetDaemon implements FleetDaemon {

  private static final String VIOLATIONS = "marjoramsail_invariant_violations";
  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private final Process process;
  private final ListenSettings listen;
  private final SettingsFile file;

  ProcessFleetDaemon(Process process, ListenSettings listen, SettingsFile file) {
    this.process = process;
    this.listen = listen;
    this.file = file;
  }

  @Override
  public int callerPort() {
    return listen.caller().port();
  }

  @Override
  public int operatorPort() {
    return listen.operator().port();
  }

  @Override
  public int peerPort() {
    return listen.peer().port();
  }

  @Override
  public OptionalLong process() {
    return OptionalLong.of(process.pid());
  }

  /** A run that ends the owner of a shard needs daemons in its own process; none is named here. */
  @Override
  public boolean isDecidingFor(String service) {
    return false;
  }

  @Override
  public Future<Void> stop() {
    process.destroy();
    return ended();
  }

  @Override
  public void reload(Settings newer) {
    try {
      file.write(newer.withListen(listen));
    } catch (IOException failure) {
      throw new UncheckedIOException(file.path() + " could not be written", failure);
    }
    signal("-HUP");
  }

  @Override
  public Future<Void> kill() {
    process.destroyForcibly();
    return ended();
  }

  /** Its own count as its metrics show it; a process that was killed took its count with it. */
  @Override
  public OptionalLong violations() {
    return process.isAlive() ? countedViolations() : OptionalLong.empty();
  }

  /** Stopped and continued by the signals that the system has for it. */
  @Override
  public void pause(long millis) {
    signal("-STOP");
    CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(() -> signal("-CONT"));
  }

  private Future<Void> ended() {
    return Future.fromCompletionStage(process.onExit()).mapEmpty();
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).inheritIO().start();
    } catch (IOException failure) {
      throw new UncheckedIOException(
          "Process " + process.pid() + " could not be sent " + signal, failure);
    }
  }

  private OptionalLong countedViolations() {
    URI metrics =
        URI.create("http://%s:%d/metrics".formatted(listen.operator().address(), operatorPort()));
    HttpRequest request = HttpRequest.newBuilder(metrics).timeout(PATIENCE).build();
    try {
      String lines =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
      return OptionalLong.of(sum(lines));
    } catch (IOException unreadable) {
      return OptionalLong.empty();
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("Interrupted while reading " + metrics, failure);
    }
  }

  private static long sum(String lines) {
    return Math.round(
        lines
            .lines()
            .filter(line -> line.startsWith(VIOLATIONS))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
            .sum());
  }
}
