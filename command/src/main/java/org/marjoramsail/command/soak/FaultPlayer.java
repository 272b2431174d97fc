package org.marjoramsail.command.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Lets the faults of a plan begin and end at their times. */
final class FaultPlayer {

  private static final Logger LOG = LoggerFactory.getLogger(FaultPlayer.class);

  private final Vertx vertx;
  private final Stage stage;

  FaultPlayer(Vertx vertx, Stage stage) {
    this.vertx = vertx;
    this.stage = stage;
  }

  /** Plays the plan from now on; done when every fault has ended, failed when one could not. */
  Future<Void> play(List<PlannedFault> faults) {
    return Future.join(faults.stream().map(this::play).toList())
        .onSuccess(ended -> stage.heal())
        .mapEmpty();
  }

  private Future<Void> play(PlannedFault fault) {
    return after(fault.atMillis())
        .compose(
            due -> {
              LOG.atDebug().addKeyValue("fault", fault).log("fault begins");
              return fault.kind().begin(stage, fault);
            })
        .compose(begun -> after(fault.millis()))
        .compose(due -> fault.kind().end(stage, fault));
  }

  private Future<Void> after(long millis) {
    return vertx.timer(Math.max(1, millis), TimeUnit.MILLISECONDS).mapEmpty();
  }
}
