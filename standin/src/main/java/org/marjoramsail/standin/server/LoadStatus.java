package org.marjoramsail.standin.server;

import java.util.List;

/**
 * The answer to a question for an upstream's load.
 *
 * @param name the upstream
 * @param incarnation rises with each start
 * @param role the name of its {@link org.marjoramsail.core.model.UpstreamRole}
 * @param model the model that it runs; empty for none
 * @param version the version of the model; empty for none
 * @param adapters adapters that it has loaded
 * @param slots how many requests it holds at most
 * @param running how many it runs
 * @param waiting how many it has accepted and not begun
 * @param queuedPrefillTokens prompt tokens that it has accepted and not read
 * @param kvBytes memory that KV caches hold
 * @param leaving whether it takes no new work
 * @param ageMillis how old the report is
 * @param orderToken the newest fencing token that it has seen
 */
public record LoadStatus(
    String name,
    long incarnation,
    String role,
    String model,
    String version,
    List<String> adapters,
    int slots,
    int running,
    int waiting,
    long queuedPrefillTokens,
    long kvBytes,
    boolean leaving,
    long ageMillis,
    long orderToken) {

  /** Copies the list, so that the value cannot change. */
  public LoadStatus {
    adapters = List.copyOf(adapters);
  }

  /** The same report with another age. */
  public LoadStatus aged(long age) {
    return new LoadStatus(
        name,
        incarnation,
        role,
        model,
        version,
        adapters,
        slots,
        running,
        waiting,
        queuedPrefillTokens,
        kvBytes,
        leaving,
        age,
        orderToken);
  }
}
