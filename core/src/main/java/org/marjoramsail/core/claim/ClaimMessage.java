package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks the daemon that batches a segment to record a claim; may be repeated.
 *
 * @param segment the segment of its key
 * @param claim what to record
 */
public record ClaimMessage(int segment, Claim claim) implements PeerMessage {}
