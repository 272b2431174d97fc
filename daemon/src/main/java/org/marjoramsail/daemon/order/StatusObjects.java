package org.marjoramsail.daemon.order;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.order.OrderStatus;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.StoredObject;

/** Writes the order status of each service when it changes, at a limited rate. */
final class StatusObjects {

  static final String KIND = "orderstatuses";

  private static final long MINIMUM_INTERVAL_MILLIS = 5_000;

  private final ObjectApi store;
  private final Clock clock;
  private final Map<String, OrderStatus> written = new HashMap<>();
  private final Map<String, Long> lastAttemptMillis = new HashMap<>();

  StatusObjects(ObjectApi store, Clock clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Writes a status if it has changed and the minimum interval since the last attempt has passed.
   */
  void write(OrderStatus status) {
    synchronized (this) {
      long now = clock.millis();
      Optional<Long> last = Optional.ofNullable(lastAttemptMillis.get(status.service()));
      boolean isTooEarly = last.filter(time -> now - time < MINIMUM_INTERVAL_MILLIS).isPresent();
      if (isTooEarly || status.equals(written.get(status.service()))) {
        return;
      }
      lastAttemptMillis.put(status.service(), now);
    }
    store
        .get(KIND, status.service())
        .compose(object -> replace(object, status))
        .recover(failure -> createIfAbsent(failure, status))
        .onSuccess(stored -> recordWritten(status));
  }

  private Future<StoredObject> replace(StoredObject object, OrderStatus status) {
    return store.replace(
        new StoredObject(
            KIND, object.name(), object.resourceVersion(), ConfigurationFormat.toTree(status)));
  }

  private Future<StoredObject> createIfAbsent(Throwable failure, OrderStatus status) {
    boolean isAbsent =
        failure instanceof ObjectApiException apiFailure
            && apiFailure.failure() == Failure.NOT_FOUND;
    return isAbsent
        ? store.create(KIND, status.service(), ConfigurationFormat.toTree(status))
        : Future.failedFuture(failure);
  }

  private synchronized void recordWritten(OrderStatus status) {
    written.put(status.service(), status);
  }
}
