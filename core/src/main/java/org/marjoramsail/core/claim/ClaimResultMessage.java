package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Sends the result of a claim to the daemon that made it.
 *
 * @param claim the claim
 * @param result its result
 */
public record ClaimResultMessage(ClaimId claim, ClaimResult result) implements PeerMessage {}
