package org.marjoramsail.standin.platform;

/** One change of the store; its version is that of the entry. */
record StoreEvent(Type type, StoredEntry entry) {

  /** What changed, as named in a watch. */
  enum Type {
    ADDED,
    MODIFIED,
    DELETED
  }
}
