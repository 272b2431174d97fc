package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.engine.EngineSettings;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.engine.EngineTimings;
import org.marjoramsail.standin.plain.PlainServiceStandIn;
import org.marjoramsail.standin.plain.PlainSettings;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformStandIn;

/** Runs one stand-in as a process of its own. */
@Command(name = "standin", description = "Runs a stand-in on loopback until the process is ended.")
@Examples(
    examples = {"marjoramsail standin prefill --port 8101", "marjoramsail standin platform"},
    descriptions = {"A prefill engine on a port of its own", "A platform on a free port"})
public final class StandInCommand implements CommandAction {

  private static final String KIND = "KIND";
  private static final String PORT = "--port";
  private static final int HIGHEST_PORT = 65_535;

  @Arguments(title = KIND, description = "prefill, decode, plain or platform")
  private String kind = "";

  @Option(name = PORT, title = "port", description = "The port; 0 for a free one. Default: 0")
  private int port;

  @Option(name = "--name", title = "name", description = "The upstream's name. Default: standin-1")
  private String name = "standin-1";

  @Option(
      name = "--model",
      title = "model",
      description = "The model of an engine. Default: lector")
  private String model = "lector";

  @Option(name = "--seed", title = "seed", description = "Decides all that is drawn. Default: 1")
  private long seed = 1;

  /** What can be run. */
  private enum Kind {
    PREFILL {
      @Override
      Future<Integer> start(StandInCommand command, Vertx vertx, Clock clock) {
        return command.startEngine(vertx, clock, UpstreamRole.PREFILL);
      }
    },
    DECODE {
      @Override
      Future<Integer> start(StandInCommand command, Vertx vertx, Clock clock) {
        return command.startEngine(vertx, clock, UpstreamRole.DECODE);
      }
    },
    PLAIN {
      @Override
      Future<Integer> start(StandInCommand command, Vertx vertx, Clock clock) {
        PlainSettings settings = PlainSettings.of(command.name).withPort(command.port);
        return new PlainServiceStandIn(vertx, settings, clock, command.random()).start();
      }
    },
    PLATFORM {
      @Override
      Future<Integer> start(StandInCommand command, Vertx vertx, Clock clock) {
        PlatformSettings settings = PlatformSettings.defaults().withPort(command.port);
        return new PlatformStandIn(vertx, settings, clock, command.random()).start();
      }
    };

    abstract Future<Integer> start(StandInCommand command, Vertx vertx, Clock clock);

    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    Kind chosen = Choice.of(KIND, kind, Kind.values(), Kind::code);
    if (port < 0 || port > HIGHEST_PORT) {
      throw new UsageException(PORT, Integer.toString(port), "0 to " + HIGHEST_PORT);
    }
    Vertx vertx = Vertx.vertx();
    try {
      int listening =
          chosen
              .start(this, vertx, surroundings.clock())
              .toCompletionStage()
              .toCompletableFuture()
              .get();
      surroundings.output().printf("%s listens on 127.0.0.1:%d%n", chosen.code(), listening);
      new CountDownLatch(1).await();
      return ExitCode.OK;
    } catch (ExecutionException failure) {
      vertx.close();
      surroundings.errors().println(failure.getCause().getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new FleetException("wait for the end of the process", failure);
    }
  }

  private Future<Integer> startEngine(Vertx vertx, Clock clock, UpstreamRole role) {
    EngineSettings settings =
        EngineSettings.of(name, role, model, EngineTimings.defaults()).withPort(port);
    return new EngineStandIn(vertx, settings, clock, random()).start();
  }

  private SplittableRandom random() {
    return new SplittableRandom(seed);
  }
}
