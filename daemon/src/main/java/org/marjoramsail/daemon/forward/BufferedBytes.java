package org.marjoramsail.daemon.forward;

/**
 * Bytes of responses that are buffered until they are complete. Runs on one event loop.
 *
 * <p>Guards against responses that are each within their bound and together take the memory of the
 * process.
 */
final class BufferedBytes {

  /**
   * Maximum size of all large responses. Growing buffers take up to twice that, which leaves half
   * of the heap of a daemon to everything else.
   */
  private static final int MAXIMUM_BYTES = 24 << 20;

  /** Size up to which a response is not counted, so that large ones never fail small ones. */
  private static final int UNCOUNTED_BYTES = 64 << 10;

  private long countedBytes;

  /** One response. */
  final class Share {
    private long bytes;

    /** Returns whether more bytes of the response may be buffered, and counts them if so. */
    boolean add(int added) {
      long countedBefore = counted();
      bytes += added;
      long grown = counted() - countedBefore;
      if (countedBytes + grown > MAXIMUM_BYTES) {
        bytes -= added;
        return false;
      }
      countedBytes += grown;
      return true;
    }

    /** Records that the response is no longer buffered here. */
    void release() {
      countedBytes -= counted();
      bytes = 0;
    }

    private long counted() {
      return Math.max(0, bytes - UNCOUNTED_BYTES);
    }
  }

  /** Returns the share of a response that begins. */
  Share open() {
    return new Share();
  }

  /** Returns the number of bytes that are counted now. */
  long countedBytes() {
    return countedBytes;
  }
}
