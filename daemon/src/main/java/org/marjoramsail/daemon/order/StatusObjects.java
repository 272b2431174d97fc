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

/** Writes where the orders of each service stand: on changes only, and seldom. */
final class StatusObjects {

  static final String KIND = "orderstatuses";

  private static final long SHORTEST_PAUSE_MILLIS = 5_000;

  private final ObjectApi store;
  private final Clock clock;
  private final Map<String, OrderStatus> written = new HashMap<>();
  private final Map<String, Long> lastCalls = new HashMap<>();

  StatusObjects(ObjectApi store, Clock clock) {
    this.store = store;
    this.clock = clock;
  }

  /** Writes a status if it has changed and the last writing is long enough ago. */
  void write(OrderStatus status) {
    synchronized (this) {
      long now = clock.millis();
      Optional<Long> last = Optional.ofNullable(lastCalls.get(status.service()));
      boolean early = last.filter(time -> now - time < SHORTEST_PAUSE_MILLIS).isPresent();
      if (early || status.equals(written.get(status.service()))) {
        return;
      }
      lastCalls.put(status.service(), now);
    }
    store
        .get(KIND, status.service())
        .compose(object -> replace(object, status))
        .recover(failure -> createIfAbsent(failure, status))
        .onSuccess(stored -> remember(status));
  }

  private Future<StoredObject> replace(StoredObject object, OrderStatus status) {
    return store.replace(
        new StoredObject(
            KIND, object.name(), object.resourceVersion(), ConfigurationFormat.toTree(status)));
  }

  private Future<StoredObject> createIfAbsent(Throwable failure, OrderStatus status) {
    boolean absent =
        failure instanceof ObjectApiException refused && refused.failure() == Failure.NOT_FOUND;
    return absent
        ? store.create(KIND, status.service(), ConfigurationFormat.toTree(status))
        : Future.failedFuture(failure);
  }

  private synchronized void remember(OrderStatus status) {
    written.put(status.service(), status);
  }
}
