package org.marjoramsail.core.placement;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * What organisations with limits use and want in one shard; its owner tells the other owners.
 *
 * @param shard whose usage
 * @param usages one for each organisation with demand
 */
public record OrganisationUsageMessage(ShardId shard, List<Usage> usages) implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public OrganisationUsageMessage {
    usages = List.copyOf(usages);
  }

  /**
   * The demand of one organisation.
   *
   * @param organisation its name
   * @param demand attempts that run or wait
   * @param tokensPerSecond tokens that its attempts of late count for, each second
   */
  public record Usage(String organisation, int demand, int tokensPerSecond) {}
}
