package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;

/**
 * The platform's object API. Every failed future fails with an {@link ObjectApiException}.
 *
 * <p>Each call counts against the platform's budget, a waiting watch as one; implementations count
 * them by kind and verb.
 */
public interface ObjectApi {

  /** Reads one object. */
  Future<StoredObject> get(String kind, String name);

  /** Reads all objects of a kind. */
  Future<ObjectList> list(String kind);

  /** Creates an object; fails with {@code ALREADY_EXISTS} where there is one. */
  Future<StoredObject> create(String kind, String name, ObjectNode spec);

  /** Replaces an object if it still has the version that {@code object} names. */
  Future<StoredObject> replace(StoredObject object);

  /** Deletes an object if it still has the version that {@code object} names. */
  Future<Void> delete(StoredObject object);

  /**
   * Watches a kind.
   *
   * @param resourceVersion events after this version are given
   * @param listener told of each event, in order
   * @return closes the watch; closing twice does nothing
   */
  Watch watch(String kind, String resourceVersion, WatchListener listener);

  /** A watch that can be closed. */
  interface Watch {
    /** Ends the watch; the listener hears nothing more. */
    void close();
  }

  /** Receives the events of a watch. */
  interface WatchListener {
    /** An object was created or replaced. */
    void stored(StoredObject object);

    /** An object was deleted; {@code object} has its last content. */
    void deleted(StoredObject object);

    /** Nothing changed up to this version. */
    void bookmark(String resourceVersion);

    /**
     * The watch has ended; the caller lists again after {@code VERSION_TOO_OLD} and otherwise
     * watches on from its last version, with back-off.
     */
    void ended(ObjectApiException cause);
  }
}
