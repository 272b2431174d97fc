package org.marjoramsail.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.SampledPrefixHashes;
import org.marjoramsail.core.time.ManualClock;

/**
 * Engines of one pool on a manual clock: they read in turn, hold some requests and queue others.
 */
final class FakeEngines {

  static final double READ_TOKENS_PER_MILLI = 8;
  static final double OVERHEAD_MILLIS = 5;
  static final double DECODE_MILLIS_PER_TOKEN = 18;
  static final long KV_LIFETIME_MILLIS = 800;

  private static final double FULL_SLOWDOWN = 0.4;

  private final ManualClock clock = new ManualClock(0);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final Map<UpstreamName, Engine> engines = new HashMap<>();
  private long sequence;

  long now() {
    return clock.millis();
  }

  void at(long atMillis, Runnable action) {
    events.add(new Event(Math.max(now(), atMillis), sequence++, action));
  }

  void after(double millis, Runnable action) {
    at(now() + Math.max(0, Math.round(millis)), action);
  }

  /** Runs all events until that time. */
  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event event = events.poll();
      clock.advance(event.atMillis() - now());
      event.action().run();
    }
    clock.advance(endMillis - now());
  }

  void add(UpstreamName name, UpstreamRole role, int slots) {
    engines.put(name, new Engine(name, role, slots));
  }

  Engine engine(UpstreamName name) {
    return engines.get(name);
  }

  /** All engines, by name. */
  List<Engine> all() {
    return engines.values().stream().sorted(Comparator.comparing(engine -> engine.name)).toList();
  }

  private record Event(long atMillis, long sequence, Runnable action) {}

  /** A job of an engine; its end is told once. */
  static final class Job {
    private final double millis;
    private final Consumer<Boolean> begun;
    private final Consumer<Boolean> ended;
    private boolean over;

    Job(double millis, Consumer<Boolean> begun, Consumer<Boolean> ended) {
      this.millis = millis;
      this.begun = begun;
      this.ended = ended;
    }
  }

  /** One engine. */
  final class Engine {
    private final UpstreamName name;
    private final UpstreamRole role;
    private final int slots;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<Long, Integer> cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
            return size() > 20;
          }
        };
    private int largestRunning;
    private long incarnation = 1;
    private long downUntil;

    Engine(UpstreamName name, UpstreamRole role, int slots) {
      this.name = name;
      this.role = role;
      this.slots = slots;
    }

    UpstreamName name() {
      return name;
    }

    UpstreamRole role() {
      return role;
    }

    boolean isDown() {
      return now() < downUntil;
    }

    int largestHeld() {
      return largestRunning;
    }

    /** Tokens of a prompt in its cache; remembers the prompt. */
    int cached(List<Long> hashes, int promptTokens) {
      if (hashes.isEmpty()) {
        return 0;
      }
      Integer known = cache.put(hashes.get(0), promptTokens);
      int blocks = SampledPrefixHashes.blocks(hashes.size() - 1) * Workload.BLOCK_TOKENS;
      return known == null ? 0 : Math.min(blocks, Math.min(known, promptTokens));
    }

    /** A prefill engine reads one prompt at a time, a decode engine runs as many as its slots. */
    void submit(Job job) {
      queue.add(job);
      largestRunning = Math.max(largestRunning, running.size() + queue.size());
      pump();
    }

    /** Removes a job from the queue, if it has not begun. */
    boolean abandon(Job job) {
      return queue.remove(job);
    }

    void crash(long forMillis) {
      downUntil = now() + forMillis;
      incarnation++;
      cache.clear();
      List<Job> lost = new ArrayList<>(running);
      lost.addAll(queue);
      running.clear();
      queue.clear();
      lost.forEach(job -> finish(job, false));
    }

    LoadReport report(long ageMillis) {
      return new LoadReport(
          name, incarnation, role, slots, running.size(), queue.size(), 0, false, ageMillis);
    }

    double slowdown() {
      return 1 + FULL_SLOWDOWN * running.size() / slots;
    }

    private void pump() {
      int atOnce = role == UpstreamRole.PREFILL ? 1 : slots;
      while (running.size() < atOnce && !queue.isEmpty()) {
        Job job = queue.poll();
        running.add(job);
        job.begun.accept(true);
        double millis = role == UpstreamRole.PREFILL ? job.millis : job.millis * slowdown();
        after(
            millis,
            () -> {
              if (running.remove(job)) {
                finish(job, true);
                pump();
              }
            });
      }
    }

    private void finish(Job job, boolean isDone) {
      if (!job.over) {
        job.over = true;
        job.ended.accept(isDone);
      }
    }
  }
}
