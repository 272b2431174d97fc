package org.marjoramsail.command.capacity;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import java.util.concurrent.atomic.LongAdder;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;

/** Passes all calls on and counts the bytes of what is written. */
final class CountingObjectApi implements ObjectApi {

  private final ObjectApi store;
  private final LongAdder writtenBytes;

  /**
   * Creates an instance with where to pass calls on, and the sum to which written bytes are added.
   */
  CountingObjectApi(ObjectApi store, LongAdder writtenBytes) {
    this.store = store;
    this.writtenBytes = writtenBytes;
  }

  @Override
  public Future<StoredObject> get(String kind, String name) {
    return store.get(kind, name);
  }

  @Override
  public Future<ObjectList> list(String kind) {
    return store.list(kind);
  }

  @Override
  public Future<StoredObject> create(String kind, String name, ObjectNode spec) {
    count(spec);
    return store.create(kind, name, spec);
  }

  @Override
  public Future<StoredObject> replace(StoredObject object) {
    count(object.spec());
    return store.replace(object);
  }

  @Override
  public Future<Void> delete(StoredObject object) {
    return store.delete(object);
  }

  @Override
  public Watch watch(String kind, String resourceVersion, WatchListener listener) {
    return store.watch(kind, resourceVersion, listener);
  }

  /** Pages of claims are plain ASCII, so characters are bytes. */
  private void count(ObjectNode spec) {
    writtenBytes.add(spec.toString().length());
  }
}
