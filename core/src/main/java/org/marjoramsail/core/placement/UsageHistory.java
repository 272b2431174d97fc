package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;

/**
 * Usage of organisations that the owners of shards have sent to this daemon.
 *
 * <p>A daemon that takes over a shard continues with the credit that its predecessor left.
 * Otherwise an organisation far below its limit would be refused after each change of owner, or one
 * at its limit would get another burst. Safe for use by several threads.
 */
public final class UsageHistory {

  /** Age up to which the usage of a predecessor is continued; owners send it every second. */
  private static final long VALIDITY_MILLIS = 5_000;

  private static final ShardId NO_SHARD = new ShardId("", "", 0);

  private final OrganisationTable table;
  private final Map<ShardId, Long> receivedMillis = new HashMap<>();

  /** Creates the history of a daemon that starts, for which every credit is used up. */
  public UsageHistory(long nowMillis) {
    this.table = new OrganisationTable(NO_SHARD, 0, true, nowMillis);
  }

  /** Applies the limits of a configuration. */
  public synchronized void configure(Configuration configuration) {
    table.configure(configuration, 1);
  }

  /** Records the usage that the owner of a shard sent. */
  public synchronized void receive(OrganisationUsageMessage message, long nowMillis) {
    receivedMillis.put(message.shard(), nowMillis);
    table.receive(message, nowMillis);
    table.removeExpired(nowMillis);
  }

  /**
   * Returns the credit of each organisation for a daemon that takes over a shard now; empty if its
   * owner has sent nothing recently.
   */
  public synchronized Map<String, OrganisationCredit> creditsFor(ShardId shard, long nowMillis) {
    Long received = receivedMillis.get(shard);
    if (received == null || nowMillis - received > VALIDITY_MILLIS) {
      return Map.of();
    }
    return table.all().stream()
        .collect(Collectors.toMap(OrganisationState::name, each -> each.credit(nowMillis)));
  }
}
