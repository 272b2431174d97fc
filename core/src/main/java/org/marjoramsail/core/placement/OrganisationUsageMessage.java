package org.marjoramsail.core.placement;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Usage and demand of the organisations with limits in one shard, sent by its owner to the other
 * owners.
 *
 * @param shard shard that the usage belongs to
 * @param epoch random number that identifies the owner; each owner's counts begin at zero, and a
 *     shard may have two owners for a while
 * @param usages one entry for each organisation with limits; empty if nothing has to be sent
 */
public record OrganisationUsageMessage(ShardId shard, long epoch, List<Usage> usages)
    implements PeerMessage {

  /** Copies the list to make the message immutable. */
  public OrganisationUsageMessage {
    usages = List.copyOf(usages);
  }

  /**
   * Usage of one organisation. Counts only increase, so that the next message makes up for a lost
   * one.
   *
   * @param organisation its name
   * @param demand attempts that run or wait
   * @param startedRequests requests that the owner has started, without retries
   * @param startedTokens tokens charged for those requests
   * @param askedPerSecond rate at which requests are placed, granted or not, in tokens a second
   */
  public record Usage(
      String organisation,
      int demand,
      long startedRequests,
      long startedTokens,
      double askedPerSecond) {}
}
