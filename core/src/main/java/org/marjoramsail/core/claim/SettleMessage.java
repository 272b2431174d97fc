package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Sends the outcome of a claimed request to the daemon that batches the segment. If the message is
 * lost, the claim stays unsettled and repeated requests do not run.
 *
 * @param segment the segment of the key
 * @param settlement the claim and its outcome
 */
public record SettleMessage(int segment, Settlement settlement) implements PeerMessage {}
