package org.marjoramsail.standin.load;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the stand-ins of a fleet counted in a run, merged.
 *
 * @param prefillTokens prompt tokens that engines read
 * @param wastedPrefillTokens of these, the tokens whose result was discarded unused, by reason
 * @param overCommitments how often an engine was given more than it holds
 * @param runsByReference how often each ballot, filing or receipt ran, by its reference
 * @param requestsRun the identifiers of all requests that plain services ran
 * @param heldAtEnd attempts that engines still held once all requests had ended
 */
public record FleetAudit(
    long prefillTokens,
    Map<String, Long> wastedPrefillTokens,
    long overCommitments,
    Map<String, Integer> runsByReference,
    Set<String> requestsRun,
    long heldAtEnd) {

  /** Copies the collections, so that the value cannot change. */
  public FleetAudit {
    wastedPrefillTokens = Map.copyOf(wastedPrefillTokens);
    runsByReference = Map.copyOf(runsByReference);
    requestsRun = Set.copyOf(requestsRun);
  }

  /** Of targets whose stand-ins are not known. */
  public static FleetAudit none() {
    return new FleetAudit(0, Map.of(), 0, Map.of(), Set.of(), 0);
  }

  /**
   * What was counted since an earlier look. Runs of requests are kept from the start, since a
   * second run counts whenever it happens.
   */
  public FleetAudit since(FleetAudit earlier) {
    Map<String, Long> wasted = new TreeMap<>(wastedPrefillTokens);
    earlier.wastedPrefillTokens.forEach(
        (reason, tokens) -> wasted.merge(reason, -tokens, Long::sum));
    wasted.values().removeIf(tokens -> tokens == 0);
    return new FleetAudit(
        prefillTokens - earlier.prefillTokens,
        wasted,
        overCommitments - earlier.overCommitments,
        runsByReference,
        requestsRun,
        heldAtEnd);
  }

  /** The share of prefill work that was discarded before its result was used. */
  public double wastedPrefillShare() {
    long wasted = wastedPrefillTokens.values().stream().mapToLong(Long::longValue).sum();
    return prefillTokens == 0 ? 0 : wasted / (double) prefillTokens;
  }

  /** The reasons of wasted prefill in a fixed order. */
  public Map<String, Long> wasteByReason() {
    return new TreeMap<>(wastedPrefillTokens);
  }
}
