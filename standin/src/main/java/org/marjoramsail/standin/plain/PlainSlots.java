package org.marjoramsail.standin.plain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The slots of one incarnation of a service and the calls that wait for them.
 *
 * @param <C> a call
 */
final class PlainSlots<C> {

  private final int slots;
  private final int queueLimit;
  private final Deque<C> waiting = new ArrayDeque<>();
  private final Set<C> running = new HashSet<>();

  PlainSlots(int slots, int queueLimit) {
    this.slots = slots;
    this.queueLimit = queueLimit;
  }

  /** Admits a call, unless slots and queue are full. */
  boolean offer(C call) {
    if (running.size() + waiting.size() >= slots + queueLimit) {
      return false;
    }
    waiting.addLast(call);
    return true;
  }

  /** The next call that gets a slot now. */
  Optional<C> begin() {
    if (running.size() >= slots || waiting.isEmpty()) {
      return Optional.empty();
    }
    C call = waiting.removeFirst();
    running.add(call);
    return Optional.of(call);
  }

  /** Frees the slot of a call that ran. */
  void end(C call) {
    running.remove(call);
  }

  /** Takes back a call that has not begun; false if it has. */
  boolean withdraw(C call) {
    return waiting.remove(call);
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return waiting.size();
  }
}
