package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.routing.CallerLimits;

/**
 * Limits the bytes of request bodies that are held at the same time, over all callers. A body is
 * held until its request has ended. Runs on one event loop.
 */
final class BodyMemory {

  /** Maximum size of one body, in bytes. */
  private static final long MAXIMUM_BODY_BYTES = 64L << 20;

  private static final long RETRY_MILLIS = 500;

  private final long maximumBytes;
  private long heldBytes;

  BodyMemory(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Returns the account of one body, which holds nothing yet. */
  Account open() {
    return new Account();
  }

  /** Returns the maximum size of a body, which a retry does not change. */
  long maximumBodyBytes(CallerLimits limits) {
    return Math.min(maximumBytes, Math.min(MAXIMUM_BODY_BYTES, limits.bodyBytes()));
  }

  /** Returns the refusal of a request whose body exceeds its maximum size. */
  static Refusal tooLarge(long bytes, long maximum) {
    return Refusal.notRun(
        RefusalReason.BODY_TOO_LARGE,
        "The body has " + bytes + " bytes; allowed: " + maximum + ".");
  }

  /** Returns the number of bytes for which there is room. */
  long freeBytes() {
    return maximumBytes - heldBytes;
  }

  /** Returns the refusal of a request for whose body there is no room. */
  Refusal refusal(long bytes) {
    return Refusal.notRun(
        RefusalReason.MEMORY_LIMIT,
        "There is no room for a body of "
            + bytes
            + " bytes; held: "
            + heldBytes
            + " of "
            + maximumBytes
            + ".",
        RETRY_MILLIS);
  }

  /** The bytes of one body. */
  final class Account {
    private long bytes;
    private boolean closed;

    private Account() {}

    /** Returns whether there is room for more bytes of the body, which are held from now on. */
    boolean add(long more) {
      if (closed || more > freeBytes()) {
        return false;
      }
      bytes += more;
      heldBytes += more;
      return true;
    }

    /** Releases the bytes of the body, once. */
    void close() {
      if (!closed) {
        closed = true;
        heldBytes -= bytes;
      }
    }
  }
}
