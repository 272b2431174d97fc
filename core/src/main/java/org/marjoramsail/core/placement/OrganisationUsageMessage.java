package org.marjoramsail.core.placement;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * What organisations with limits use and want in one shard; its owner tells the other owners.
 *
 * @param shard whose usage
 * @param epoch drawn by its owner when it began; another value means another owner, whose counts
 *     begin at zero, and there may be two for a while
 * @param usages one for each organisation with demand
 */
public record OrganisationUsageMessage(ShardId shard, long epoch, List<Usage> usages)
    implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public OrganisationUsageMessage {
    usages = List.copyOf(usages);
  }

  /**
   * The usage of one organisation. Counts only rise, so that a message that is lost is made good by
   * the next.
   *
   * @param organisation its name
   * @param demand attempts that run or wait
   * @param startedRequests attempts that its owner has started
   * @param startedTokens what these counted for in tokens
   */
  public record Usage(String organisation, int demand, long startedRequests, long startedTokens) {}
}
