package org.marjoramsail.core.claim;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Tells the daemon that batches a segment how a claimed request ended; one that is lost leaves the
 * claim as it is, so that a repeat is never run.
 *
 * @param segment the segment of its key
 * @param settlement how it ended
 */
public record SettleMessage(int segment, Settlement settlement) implements PeerMessage {}
