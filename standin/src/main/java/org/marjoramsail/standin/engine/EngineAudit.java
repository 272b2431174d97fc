package org.marjoramsail.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * What an engine stand-in has done since it was made, over all its incarnations; for checks.
 *
 * @param name the engine
 * @param incarnation its present incarnation
 * @param runs how often each attempt began here; only the latest 200,000 are kept
 * @param duplicates attempts that began here although they had begun before, or arrived while held
 * @param slots how many attempts it may hold
 * @param held how many it holds, waiting ones included
 * @param mostHeld the most that it has held
 * @param overCommitments attempts accepted while all slots were held
 * @param heldKvBytes KV memory that is held, exports included
 * @param mostKvBytes the most that was held
 * @param prefillTokens prompt tokens read
 * @param cachedTokens prompt tokens that the prefix cache spared
 * @param wastedTokens prompt tokens whose KV cache was discarded before a token was made from it
 * @param generatedTokens tokens generated
 * @param completed attempts that ended with their result
 * @param cancelled attempts and KV caches freed by a cancel or a lost client
 * @param refusals refusals by reason
 * @param crashes how often it crashed
 * @param crashesByPrompt of these, the ones by a poisonous prompt, by {@link TokenText#seed}
 * @param ordersDone orders carried out, in their order
 */
public record EngineAudit(
    String name,
    long incarnation,
    Map<AttemptKey, Integer> runs,
    long duplicates,
    int slots,
    int held,
    int mostHeld,
    long overCommitments,
    long heldKvBytes,
    long mostKvBytes,
    long prefillTokens,
    long cachedTokens,
    Map<WasteReason, Long> wastedTokens,
    long generatedTokens,
    long completed,
    long cancelled,
    Map<String, Long> refusals,
    long crashes,
    Map<Long, Integer> crashesByPrompt,
    List<DoneOrder> ordersDone) {

  /**
   * An order that was carried out.
   *
   * @param order its identifier
   * @param token its fencing token
   * @param kind what it asked for
   * @param stale whether a newer token had been seen when it was accepted
   */
  public record DoneOrder(String order, long token, String kind, boolean stale) {}

  /** Copies the collections, so that the value cannot change. */
  public EngineAudit {
    runs = Map.copyOf(runs);
    wastedTokens = Map.copyOf(wastedTokens);
    refusals = Map.copyOf(refusals);
    crashesByPrompt = Map.copyOf(crashesByPrompt);
    ordersDone = List.copyOf(ordersDone);
  }

  /** Prompt tokens discarded for any reason. */
  public long wastedTokensInAll() {
    return wastedTokens.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Whether no attempt and no KV memory is held. */
  public boolean isHoldingNothing() {
    return held == 0 && heldKvBytes == 0;
  }
}
