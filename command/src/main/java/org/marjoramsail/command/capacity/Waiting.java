package org.marjoramsail.command.capacity;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for futures from the thread of the command. */
final class Waiting {

  private Waiting() {}

  /** The result of a future, which has to come within some seconds. */
  static <T> T on(String phase, Future<T> future, long seconds) throws CapacityException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(seconds, TimeUnit.SECONDS);
    } catch (ExecutionException failure) {
      throw new CapacityException(phase, failure.getCause());
    } catch (TimeoutException failure) {
      throw new CapacityException(phase + " within " + seconds + " s", failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new CapacityException(phase, failure);
    }
  }
}
