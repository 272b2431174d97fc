package org.marjoramsail.daemon.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;

/** The object API in memory, with faults that a test chooses for each call. */
public final class FakeStore implements ObjectApi {

  /** What happens to a call. */
  public enum Fault {
    NONE,
    /** Refused; nothing was done. */
    UNAVAILABLE,
    /** The call is lost on its way; the caller cannot tell. */
    REQUEST_LOST,
    /** The call takes effect; the caller cannot tell. */
    ANSWER_LOST,
    /** The caller gives up; the call takes effect later. */
    LATE_EFFECT
  }

  /** A call that was made. */
  public record Call(String verb, String kind, String name) {}

  private record Watcher(String kind, WatchListener listener) {}

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final List<Call> calls = new ArrayList<>();
  private final List<StoredObject> written = new ArrayList<>();
  private final List<Runnable> lateEffects = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private final List<Runnable> deliveries = new ArrayList<>();
  private Function<Call, Fault> faults = call -> Fault.NONE;
  private boolean stepwise;
  private long version;

  /** Chooses the fault of each call from now on. */
  public void faults(Function<Call, Fault> chosen) {
    this.faults = chosen;
  }

  /** From now on answers and events wait until {@link #deliver} is called. */
  public void stepwise() {
    this.stepwise = true;
  }

  /** The calls so far. */
  public List<Call> calls() {
    return calls;
  }

  /** Every content that any object has ever had, in order. */
  public List<StoredObject> written() {
    return written;
  }

  /** Tells every watch that nothing else has changed. */
  public void bookmark() {
    String now = Long.toString(version);
    new ArrayList<>(watchers).forEach(watcher -> later(() -> watcher.listener().bookmark(now)));
  }

  /** How many answers and events wait. */
  public int waiting() {
    return deliveries.size();
  }

  /** Carries out or answers what waits at this place. */
  public void deliver(int index) {
    deliveries.remove(index).run();
  }

  /** Lets the late effects happen, in their order. */
  public void applyLateEffects() {
    List<Runnable> due = new ArrayList<>(lateEffects);
    lateEffects.clear();
    due.forEach(Runnable::run);
  }

  /** The content of an object, if there is one. */
  public Optional<StoredObject> find(String kind, String name) {
    return Optional.ofNullable(objects.get(kind + "/" + name));
  }

  /** Puts back an earlier content, as a restored backup would. */
  public void restore(StoredObject object) {
    store(object.kind(), object.name(), object.spec());
  }

  /** Ends every watch. */
  public void endWatches(Failure failure) {
    List<Watcher> ended = new ArrayList<>(watchers);
    watchers.clear();
    ended.forEach(watcher -> watcher.listener().ended(failure(failure, watcher.kind(), "")));
  }

  /** How many watches are open. */
  public int openWatches() {
    return watchers.size();
  }

  @Override
  public Future<StoredObject> get(String kind, String name) {
    return call("get", kind, name, () -> existing(kind, name));
  }

  @Override
  public Future<ObjectList> list(String kind) {
    return call(
        "list",
        kind,
        "",
        () ->
            Future.succeededFuture(
                new ObjectList(
                    Long.toString(version),
                    objects.values().stream().filter(o -> o.kind().equals(kind)).toList())));
  }

  @Override
  public Future<StoredObject> create(String kind, String name, ObjectNode spec) {
    ObjectNode copy = spec.deepCopy();
    return call(
        "create",
        kind,
        name,
        () ->
            find(kind, name).isPresent()
                ? Future.failedFuture(failure(Failure.ALREADY_EXISTS, kind, name))
                : Future.succeededFuture(store(kind, name, copy)));
  }

  @Override
  public Future<StoredObject> replace(StoredObject object) {
    ObjectNode copy = object.spec().deepCopy();
    return call(
        "replace",
        object.kind(),
        object.name(),
        () ->
            existing(object.kind(), object.name())
                .compose(
                    current ->
                        current.resourceVersion().equals(object.resourceVersion())
                            ? Future.succeededFuture(store(object.kind(), object.name(), copy))
                            : Future.failedFuture(
                                failure(Failure.CONFLICT, object.kind(), object.name()))));
  }

  @Override
  public Future<Void> delete(StoredObject object) {
    return call(
        "delete",
        object.kind(),
        object.name(),
        () ->
            existing(object.kind(), object.name())
                .compose(
                    current -> {
                      if (!current.resourceVersion().equals(object.resourceVersion())) {
                        return Future.failedFuture(
                            failure(Failure.CONFLICT, object.kind(), object.name()));
                      }
                      objects.remove(object.kind() + "/" + object.name());
                      return Future.succeededFuture();
                    }));
  }

  @Override
  public Watch watch(String kind, String resourceVersion, WatchListener listener) {
    Call call = new Call("watch", kind, "");
    calls.add(call);
    if (faults.apply(call) != Fault.NONE) {
      later(() -> listener.ended(failure(Failure.UNAVAILABLE, kind, "")));
      return () -> {};
    }
    Watcher watcher = new Watcher(kind, listener);
    watchers.add(watcher);
    long since = resourceVersion.isEmpty() ? 0 : Long.parseLong(resourceVersion);
    objects.values().stream()
        .filter(object -> object.kind().equals(kind))
        .filter(object -> Long.parseLong(object.resourceVersion()) > since)
        .forEach(object -> tell(watcher, object));
    return () -> watchers.remove(watcher);
  }

  private Future<StoredObject> existing(String kind, String name) {
    return find(kind, name)
        .map(Future::succeededFuture)
        .orElseGet(() -> Future.failedFuture(failure(Failure.NOT_FOUND, kind, name)));
  }

  private StoredObject store(String kind, String name, ObjectNode spec) {
    version++;
    StoredObject stored = new StoredObject(kind, name, Long.toString(version), spec.deepCopy());
    objects.put(kind + "/" + name, stored);
    written.add(stored);
    for (Watcher watcher : new ArrayList<>(watchers)) {
      if (watcher.kind().equals(kind)) {
        tell(watcher, stored);
      }
    }
    return stored;
  }

  private void tell(Watcher watcher, StoredObject object) {
    later(
        () -> {
          if (watchers.contains(watcher)) {
            watcher.listener().stored(object);
          }
        });
  }

  private <T> Future<T> call(String verb, String kind, String name, Supplier<Future<T>> effect) {
    Call call = new Call(verb, kind, name);
    calls.add(call);
    Promise<T> promise = Promise.promise();
    later(() -> carryOut(call, effect, promise));
    return promise.future();
  }

  private <T> void carryOut(Call call, Supplier<Future<T>> effect, Promise<T> promise) {
    Fault fault = faults.apply(call);
    Failure lost = call.verb().equals("get") ? Failure.UNAVAILABLE : Failure.UNCERTAIN;
    switch (fault) {
      case NONE -> {
        Future<T> outcome = effect.get();
        later(() -> outcome.onComplete(promise));
      }
      case UNAVAILABLE -> promise.fail(failure(Failure.UNAVAILABLE, call.kind(), call.name()));
      case REQUEST_LOST -> promise.fail(failure(lost, call.kind(), call.name()));
      case ANSWER_LOST -> {
        effect.get().onComplete(unheard -> promise.fail(failure(lost, call.kind(), call.name())));
      }
      case LATE_EFFECT -> {
        lateEffects.add(() -> effect.get().onComplete(unheard -> {}));
        promise.fail(failure(lost, call.kind(), call.name()));
      }
    }
  }

  private void later(Runnable action) {
    if (stepwise) {
      deliveries.add(action);
    } else {
      action.run();
    }
  }

  private static ObjectApiException failure(Failure failure, String kind, String name) {
    return new ObjectApiException(failure, kind, name, "by the test", Optional.empty(), null);
  }
}
