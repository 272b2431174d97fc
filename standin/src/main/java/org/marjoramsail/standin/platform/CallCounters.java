package org.marjoramsail.standin.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls that reached the platform, answered or not. */
public final class CallCounters {

  private record CallKind(CallVerb verb, String kind) {}

  private final Map<CallKind, LongAdder> calls = new ConcurrentHashMap<>();
  private final LongAdder overBudget = new LongAdder();

  CallCounters() {}

  void count(CallVerb verb, String kind) {
    calls.computeIfAbsent(new CallKind(verb, kind), unused -> new LongAdder()).increment();
  }

  void countOverBudget() {
    overBudget.increment();
  }

  /** How many calls of a verb on a kind came. */
  public long calls(CallVerb verb, String kind) {
    LongAdder adder = calls.get(new CallKind(verb, kind));
    return adder == null ? 0 : adder.sum();
  }

  /** How many writes of all kinds came. */
  public long writes() {
    return sum(true);
  }

  /** How many reads of all kinds came; a watch is one. */
  public long reads() {
    return sum(false);
  }

  /** How many calls were refused because the budget was spent; the other counts have them too. */
  public long overBudget() {
    return overBudget.sum();
  }

  private long sum(boolean write) {
    return calls.entrySet().stream()
        .filter(entry -> entry.getKey().verb().isWrite() == write)
        .mapToLong(entry -> entry.getValue().sum())
        .sum();
  }
}
