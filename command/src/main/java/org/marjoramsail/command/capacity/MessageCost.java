package org.marjoramsail.command.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.daemon.peer.PeerCodec;
import org.marjoramsail.daemon.peer.PeerCodecException;

/** Bytes of a message as daemons send it, and the processor time to write and read it. */
final class MessageCost {

  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int MAXIMUM_BYTES = 1 << 20;
  private static final int WARM_UP = 20_000;
  private static final int REPEATS = 20_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final PeerCodec CODEC = new PeerCodec(MAXIMUM_BYTES);

  private final PeerMessage message;

  MessageCost(PeerMessage message) {
    this.message = message;
  }

  /** Bytes of the frame, its length included. */
  int bytes() {
    return LENGTH_BYTES + encoded().length;
  }

  /** Processor time to encode and decode it, in microseconds. */
  double micros() {
    repeat(WARM_UP);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadCpuTime();
    repeat(REPEATS);
    return (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / REPEATS;
  }

  private void repeat(int times) {
    for (int time = 0; time < times; time++) {
      decode(encoded());
    }
  }

  private byte[] encoded() {
    try {
      return CODEC.encode(message);
    } catch (PeerCodecException failure) {
      throw new IllegalStateException("No bytes of " + message.getClass(), failure);
    }
  }

  private static void decode(byte[] body) {
    try {
      CODEC.decode(body);
    } catch (PeerCodecException failure) {
      throw new IllegalStateException("A message cannot be read again.", failure);
    }
  }
}
