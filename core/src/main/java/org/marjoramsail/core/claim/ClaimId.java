package org.marjoramsail.core.claim;

import org.marjoramsail.core.model.DaemonId;

/**
 * Permanent identifier of a claim, by which the claim is found again after the response to its
 * write was lost.
 *
 * @param daemon the incarnation of the daemon that made the claim
 * @param sequence number of the claim, increasing within the incarnation
 */
public record ClaimId(DaemonId daemon, long sequence) {}
