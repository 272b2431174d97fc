package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Requests the daemon that batches a segment to record a claim; may be sent repeatedly.
 *
 * @param segment the segment of the key
 * @param claim the claim to record
 */
public record ClaimMessage(int segment, Claim claim) implements PeerMessage {}
