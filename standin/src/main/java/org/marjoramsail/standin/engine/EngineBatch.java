package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;

/**
 * Continuous batching: step after step, each of which makes a token of every decoding attempt and
 * reads a chunk of the most urgent prompt.
 */
final class EngineBatch {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final Comparator<HeldAttempt> URGENCY =
      Comparator.<HeldAttempt>comparingInt(attempt -> attempt.priority)
          .thenComparingLong(attempt -> attempt.sequence);

  /** The work of one step, settled when it begins. */
  private record Step(
      long endMicros, List<HeldAttempt> decoding, Optional<HeldAttempt> reading, int chunk) {}

  private final EngineSettings settings;
  private final KvMemory memory;
  private final DoubleSupplier slowness;
  private final BatchEvents events;
  private final TreeSet<HeldAttempt> waiting = new TreeSet<>(URGENCY);
  private final TreeSet<HeldAttempt> prefilling = new TreeSet<>(URGENCY);
  private final Set<HeldAttempt> importing = new LinkedHashSet<>();
  private final Set<HeldAttempt> decoding = new LinkedHashSet<>();
  private Optional<Step> step = Optional.empty();
  private long arrivals;
  private boolean halted;

  EngineBatch(
      EngineSettings settings, KvMemory memory, DoubleSupplier slowness, BatchEvents events) {
    this.settings = settings;
    this.memory = memory;
    this.slowness = slowness;
    this.events = events;
  }

  /** Admits an attempt; it begins at once if a slot and memory are free. */
  void add(HeldAttempt attempt, long nowMicros) {
    attempt.sequence = arrivals;
    arrivals++;
    waiting.add(attempt);
    advance(nowMicros);
  }

  /** Runs all steps that end by now. */
  void advance(long nowMicros) {
    admit(nowMicros);
    if (step.isEmpty()) {
      step = begin(nowMicros);
    }
    while (!halted && step.isPresent() && step.get().endMicros() <= nowMicros) {
      Step ending = step.get();
      finish(ending);
      admit(ending.endMicros());
      step = begin(ending.endMicros());
    }
  }

  private void admit(long nowMicros) {
    while (!waiting.isEmpty() && running() < settings.slots()) {
      HeldAttempt first = waiting.first();
      if (!memory.tryHold(kvBytes(first))) {
        return;
      }
      waiting.remove(first);
      enter(first);
      events.began(first, nowMicros);
    }
  }

  private void enter(HeldAttempt attempt) {
    if (attempt.source.isPresent()) {
      attempt.phase = AttemptPhase.IMPORTING;
      importing.add(attempt);
    } else {
      attempt.phase = AttemptPhase.PREFILLING;
      prefilling.add(attempt);
    }
  }

  /** The KV cache of an importing attempt is here; it generates from the next step on. */
  void imported(HeldAttempt attempt, long nowMicros) {
    if (importing.remove(attempt)) {
      startDecoding(attempt);
      advance(nowMicros);
    }
  }

  private void startDecoding(HeldAttempt attempt) {
    attempt.phase = AttemptPhase.DECODING;
    decoding.add(attempt);
  }

  private Optional<Step> begin(long nowMicros) {
    if (decoding.isEmpty() && prefilling.isEmpty()) {
      return Optional.empty();
    }
    EngineTimings timings = settings.timings();
    Optional<HeldAttempt> reading =
        prefilling.isEmpty() ? Optional.empty() : Optional.of(prefilling.first());
    int most = decoding.isEmpty() ? timings.prefillChunkTokens() : timings.decodeChunkTokens();
    int chunk = reading.map(attempt -> Math.min(most, attempt.unreadTokens)).orElse(0);
    long micros = chunk * MICROS_PER_SECOND / timings.prefillTokensPerSecond();
    if (!decoding.isEmpty()) {
      micros += timings.decodeStepMicros() + decoding.size() * timings.decodeStepPerRequestMicros();
    }
    long end = nowMicros + Math.max(1, Math.round(micros * slowness.getAsDouble()));
    return Optional.of(new Step(end, new ArrayList<>(decoding), reading, chunk));
  }

  private void finish(Step ending) {
    for (HeldAttempt attempt : ending.decoding()) {
      if (!halted && attempt.phase == AttemptPhase.DECODING) {
        events.generated(attempt);
      }
    }
    ending
        .reading()
        .filter(attempt -> !halted && attempt.phase == AttemptPhase.PREFILLING)
        .ifPresent(attempt -> finishChunk(attempt, ending));
  }

  private void finishChunk(HeldAttempt attempt, Step ending) {
    attempt.unreadTokens -= ending.chunk();
    attempt.freshTokens += ending.chunk();
    events.chunkRead(attempt, ending.chunk());
    if (!halted && attempt.unreadTokens == 0) {
      prefilling.remove(attempt);
      if (attempt.generating) {
        startDecoding(attempt);
      }
      events.promptRead(attempt, ending.endMicros());
    }
  }

  /** Forgets an attempt and gives its memory back unless a KV export takes it over. */
  void remove(HeldAttempt attempt, boolean keepMemory) {
    boolean holdsMemory = attempt.phase != AttemptPhase.WAITING;
    waiting.remove(attempt);
    prefilling.remove(attempt);
    importing.remove(attempt);
    decoding.remove(attempt);
    attempt.phase = AttemptPhase.ENDED;
    if (holdsMemory && !keepMemory) {
      memory.free(kvBytes(attempt));
    }
  }

  /** Stops in the middle of a step, as a crash does. */
  void halt() {
    halted = true;
  }

  long kvBytes(HeldAttempt attempt) {
    return attempt.kvTokens() * settings.kvBytesPerToken();
  }

  int running() {
    return prefilling.size() + importing.size() + decoding.size();
  }

  int waiting() {
    return waiting.size();
  }

  long queuedPrefillTokens() {
    long unread = prefilling.stream().mapToLong(attempt -> attempt.unreadTokens).sum();
    return unread
        + waiting.stream()
            .filter(attempt -> attempt.source.isEmpty())
            .mapToLong(attempt -> attempt.prompt.tokens())
            .sum();
  }
}
