package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.standin.engine.EngineAudit.DoneOrder;

/** Counts for {@link EngineAudit}; read by any thread, so each method holds its lock. */
final class AuditBook {

  private static final int KEPT_RUNS = 200_000;

  private final Map<AttemptKey, Integer> runs =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptKey, Integer> eldest) {
          return size() > KEPT_RUNS;
        }
      };
  private final Map<WasteReason, Long> wastedTokens = new EnumMap<>(WasteReason.class);
  private final Map<String, Long> refusals = new HashMap<>();
  private final Map<Long, Integer> crashesByPrompt = new HashMap<>();
  private final List<DoneOrder> ordersDone = new ArrayList<>();
  private long incarnation;
  private long duplicates;
  private int held;
  private int mostHeld;
  private long overCommitments;
  private long heldKvBytes;
  private long mostKvBytes;
  private long prefillTokens;
  private long cachedTokens;
  private long generatedTokens;
  private long completed;
  private long cancelled;
  private long crashes;

  synchronized void incarnated(long newIncarnation) {
    incarnation = newIncarnation;
  }

  synchronized void accepted(int slots) {
    if (held >= slots) {
      overCommitments++;
    }
    held++;
    mostHeld = Math.max(mostHeld, held);
  }

  synchronized void released() {
    held--;
  }

  synchronized void kvHeld(long bytes) {
    heldKvBytes = bytes;
    mostKvBytes = Math.max(mostKvBytes, bytes);
  }

  synchronized void began(AttemptKey key, int cached) {
    if (runs.merge(key, 1, Integer::sum) > 1) {
      duplicates++;
    }
    cachedTokens += cached;
  }

  synchronized void duplicateArrived() {
    duplicates++;
  }

  synchronized void promptRead(int tokens) {
    prefillTokens += tokens;
  }

  synchronized void generated() {
    generatedTokens++;
  }

  synchronized void completed() {
    completed++;
  }

  synchronized void cancelled() {
    cancelled++;
  }

  synchronized void wasted(WasteReason reason, long tokens) {
    if (tokens > 0) {
      wastedTokens.merge(reason, tokens, Long::sum);
    }
  }

  synchronized void refused(String reason) {
    refusals.merge(reason, 1L, Long::sum);
  }

  synchronized void crashed() {
    crashes++;
  }

  synchronized void crashedByPrompt(long seed) {
    crashesByPrompt.merge(seed, 1, Integer::sum);
  }

  synchronized void orderDone(DoneOrder order) {
    ordersDone.add(order);
  }

  synchronized EngineAudit read(String name, int slots) {
    return new EngineAudit(
        name,
        incarnation,
        runs,
        duplicates,
        slots,
        held,
        mostHeld,
        overCommitments,
        heldKvBytes,
        mostKvBytes,
        prefillTokens,
        cachedTokens,
        wastedTokens,
        generatedTokens,
        completed,
        cancelled,
        refusals,
        crashes,
        crashesByPrompt,
        ordersDone);
  }
}
