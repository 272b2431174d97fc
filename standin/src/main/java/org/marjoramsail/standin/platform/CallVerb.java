package org.marjoramsail.standin.platform;

/** The verbs of the object API, by which calls are counted. */
public enum CallVerb {
  /** Reads one object. */
  GET(false),
  /** Reads all objects of a kind. */
  LIST(false),
  /** Waits for changes; one call however long it waits. */
  WATCH(false),
  /** Creates an object. */
  CREATE(true),
  /** Replaces an object. */
  REPLACE(true),
  /** Deletes an object. */
  DELETE(true);

  private final boolean write;

  CallVerb(boolean write) {
    this.write = write;
  }

  /** Whether it counts against the budget of writes. */
  public boolean isWrite() {
    return write;
  }
}
