package org.marjoramsail.command.capacity;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;

/**
 * An object API on virtual time that counts calls; in an outage every call fails and every watch
 * ends.
 */
final class VirtualStore implements ObjectApi {

  private static final long ANSWER_MILLIS = 3;
  private static final long BOOKMARK_MILLIS = 60_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** A watch that waits for events. */
  private record Waiting(String kind, WatchListener listener) {}

  private final VirtualTime time;
  private final Map<String, StoredObject> objects = new HashMap<>();
  private final List<Waiting> watches = new ArrayList<>();
  private final Map<Long, Long> callsBySecond = new HashMap<>();
  private long version;
  private boolean outage;
  private long reads;
  private long writes;

  VirtualStore(VirtualTime time) {
    this.time = time;
    time.schedule(BOOKMARK_MILLIS, this::bookmark);
  }

  long reads() {
    return reads;
  }

  long writes() {
    return writes;
  }

  long calls() {
    return reads + writes;
  }

  int watches() {
    return watches.size();
  }

  /** The most calls in one second since the start. */
  long busiestSecond() {
    return callsBySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Begins or ends an outage. */
  void outage(boolean begins) {
    outage = begins;
    if (begins) {
      List<Waiting> cut = List.copyOf(watches);
      watches.clear();
      cut.forEach(watch -> watch.listener().ended(failure(Failure.UNAVAILABLE, "")));
    }
  }

  @Override
  public Future<StoredObject> get(String kind, String name) {
    reads++;
    return answer(
        () -> found(kind, name).map(Future::succeededFuture).orElseGet(() -> absent(name)));
  }

  @Override
  public Future<ObjectList> list(String kind) {
    reads++;
    return answer(
        () ->
            Future.succeededFuture(
                new ObjectList(
                    Long.toString(version),
                    objects.values().stream()
                        .filter(object -> object.kind().equals(kind))
                        .toList())));
  }

  @Override
  public Future<StoredObject> create(String kind, String name, ObjectNode spec) {
    writes++;
    return answer(
        () ->
            found(kind, name).isPresent()
                ? Future.failedFuture(failure(Failure.ALREADY_EXISTS, name))
                : Future.succeededFuture(put(kind, name, spec)));
  }

  @Override
  public Future<StoredObject> replace(StoredObject object) {
    writes++;
    return answer(
        () ->
            isNewest(object)
                ? Future.succeededFuture(put(object.kind(), object.name(), object.spec()))
                : Future.failedFuture(failure(Failure.CONFLICT, object.name())));
  }

  @Override
  public Future<Void> delete(StoredObject object) {
    writes++;
    return answer(
        () -> {
          objects.remove(object.kind() + "/" + object.name());
          return Future.succeededFuture();
        });
  }

  @Override
  public Watch watch(String kind, String resourceVersion, WatchListener listener) {
    reads++;
    count();
    if (outage) {
      time.schedule(ANSWER_MILLIS, () -> listener.ended(failure(Failure.UNAVAILABLE, "")));
      return () -> {};
    }
    Waiting waiting = new Waiting(kind, listener);
    watches.add(waiting);
    return () -> watches.remove(waiting);
  }

  private void bookmark() {
    List.copyOf(watches).forEach(watch -> watch.listener().bookmark(Long.toString(version)));
    time.schedule(BOOKMARK_MILLIS, this::bookmark);
  }

  private Optional<StoredObject> found(String kind, String name) {
    return Optional.ofNullable(objects.get(kind + "/" + name));
  }

  private boolean isNewest(StoredObject object) {
    return found(object.kind(), object.name())
        .filter(stored -> stored.resourceVersion().equals(object.resourceVersion()))
        .isPresent();
  }

  private StoredObject put(String kind, String name, ObjectNode spec) {
    version++;
    StoredObject object = new StoredObject(kind, name, Long.toString(version), spec);
    objects.put(kind + "/" + name, object);
    for (Waiting watch : List.copyOf(watches)) {
      if (watch.kind().equals(kind)) {
        time.schedule(ANSWER_MILLIS, () -> watch.listener().stored(object));
      }
    }
    return object;
  }

  private <T> Future<T> answer(Supplier<Future<T>> action) {
    count();
    Promise<T> promise = Promise.promise();
    time.schedule(
        ANSWER_MILLIS,
        () -> {
          if (outage) {
            promise.fail(failure(Failure.UNAVAILABLE, ""));
          } else {
            action.get().onComplete(promise);
          }
        });
    return promise.future();
  }

  private void count() {
    callsBySecond.merge(time.clock().millis() / MILLIS_PER_SECOND, 1L, Long::sum);
  }

  private static <T> Future<T> absent(String name) {
    return Future.failedFuture(failure(Failure.NOT_FOUND, name));
  }

  private static ObjectApiException failure(Failure failure, String name) {
    return new ObjectApiException(
        failure, "objects", name, "virtual store", Optional.empty(), null);
  }
}
