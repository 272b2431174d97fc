package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.marjoramsail.standin.platform.StoreException.Reason;

/**
 * Versioned objects with conditional updates and a bounded history of events.
 *
 * <p>Versions rise by one with each change of any object. Safe for several threads; listeners are
 * called under the lock, in the order of the versions, and must not call back.
 */
final class ObjectStore {

  private final int historyEvents;
  private final Map<String, Map<String, StoredEntry>> kinds = new TreeMap<>();
  private final Deque<StoreEvent> history = new ArrayDeque<>();
  private final Set<Consumer<StoreEvent>> listeners = new LinkedHashSet<>();
  private long version = 1;
  private long forgottenVersion = 1;

  ObjectStore(int historyEvents) {
    this.historyEvents = historyEvents;
  }

  /** What a list call gives: the entries of a kind and the version of the whole store. */
  record Listing(long version, List<StoredEntry> entries) {}

  synchronized long version() {
    return version;
  }

  synchronized Listing list(String kind) {
    return new Listing(version, List.copyOf(entries(kind).values()));
  }

  synchronized StoredEntry get(String kind, String name) throws StoreException {
    return find(kind, name)
        .orElseThrow(
            () -> new StoreException(Reason.NOT_FOUND, "There is no " + kind + "/" + name + "."));
  }

  synchronized StoredEntry create(String kind, String name, ObjectNode spec) throws StoreException {
    if (find(kind, name).isPresent()) {
      throw new StoreException(
          Reason.ALREADY_EXISTS, "There is a " + kind + "/" + name + " already.");
    }
    long next = version + 1;
    StoredEntry entry = new StoredEntry(kind, name, "uid-" + next, next, spec);
    entries(kind).put(name, entry);
    record(new StoreEvent(StoreEvent.Type.ADDED, entry));
    return entry;
  }

  /** Replaces an object; unconditionally without an expected version. */
  synchronized StoredEntry replace(
      String kind, String name, OptionalLong expectedVersion, ObjectNode spec)
      throws StoreException {
    StoredEntry current = get(kind, name);
    checkVersion(current, expectedVersion);
    StoredEntry entry = current.at(version + 1, spec);
    entries(kind).put(name, entry);
    record(new StoreEvent(StoreEvent.Type.MODIFIED, entry));
    return entry;
  }

  /** Deletes an object; unconditionally without an expected version. */
  synchronized StoredEntry delete(String kind, String name, OptionalLong expectedVersion)
      throws StoreException {
    StoredEntry current = get(kind, name);
    checkVersion(current, expectedVersion);
    entries(kind).remove(name);
    StoredEntry deleted = current.at(version + 1, current.spec());
    record(new StoreEvent(StoreEvent.Type.DELETED, deleted));
    return deleted;
  }

  /**
   * Gives the events of a kind after a version, then each new event of any kind as it happens.
   *
   * @return ends the subscription
   * @throws StoreException if events after that version have been forgotten
   */
  synchronized Runnable subscribe(String kind, long afterVersion, Consumer<StoreEvent> listener)
      throws StoreException {
    if (afterVersion < forgottenVersion) {
      throw new StoreException(
          Reason.EXPIRED,
          "Version "
              + afterVersion
              + " is too old; the oldest that can be watched from is "
              + forgottenVersion
              + ".");
    }
    List<StoreEvent> missed = new ArrayList<>();
    for (StoreEvent event : history) {
      if (event.entry().version() > afterVersion && event.entry().kind().equals(kind)) {
        missed.add(event);
      }
    }
    missed.forEach(listener);
    Consumer<StoreEvent> ofKind =
        event -> {
          if (event.entry().kind().equals(kind)) {
            listener.accept(event);
          }
        };
    listeners.add(ofKind);
    return () -> unsubscribe(ofKind);
  }

  private synchronized void unsubscribe(Consumer<StoreEvent> listener) {
    listeners.remove(listener);
  }

  private Optional<StoredEntry> find(String kind, String name) {
    return Optional.ofNullable(entries(kind).get(name));
  }

  private Map<String, StoredEntry> entries(String kind) {
    return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
  }

  private static void checkVersion(StoredEntry current, OptionalLong expectedVersion)
      throws StoreException {
    if (expectedVersion.isPresent() && expectedVersion.getAsLong() != current.version()) {
      throw new StoreException(
          Reason.CONFLICT,
          current.kind()
              + "/"
              + current.name()
              + " has version "
              + current.version()
              + ", not "
              + expectedVersion.getAsLong()
              + ".");
    }
  }

  private void record(StoreEvent event) {
    version = event.entry().version();
    history.addLast(event);
    if (history.size() > historyEvents) {
      forgottenVersion = history.removeFirst().entry().version();
    }
    List.copyOf(listeners).forEach(listener -> listener.accept(event));
  }
}
