package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Tells a claimant what came of its claim.
 *
 * @param claim the claim
 * @param result what came of it
 */
public record ClaimResultMessage(ClaimId claim, ClaimResult result) implements PeerMessage {}
