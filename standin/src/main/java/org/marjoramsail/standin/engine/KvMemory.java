package org.marjoramsail.standin.engine;

/** Bounded memory for KV caches; it never gives out more than it has. */
final class KvMemory {

  private final long capacityBytes;
  private long heldBytes;

  KvMemory(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Whether so much would fit if nothing else were held. */
  boolean canEverHold(long bytes) {
    return bytes <= capacityBytes;
  }

  /** Holds so much, if it is free. */
  boolean tryHold(long bytes) {
    if (heldBytes + bytes > capacityBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void free(long bytes) {
    if (bytes > heldBytes) {
      throw new IllegalStateException(
          "Freed " + bytes + " bytes of KV memory while only " + heldBytes + " are held.");
    }
    heldBytes -= bytes;
  }

  long heldBytes() {
    return heldBytes;
  }
}
