package org.marjoramsail.core.discovery;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks another daemon for the lists as it knows them; sent by one that starts while they cannot be
 * read.
 *
 * @param atMillis when it was asked, on the clock of the daemon that asks
 */
public record ListingRequestMessage(long atMillis) implements PeerMessage {}
