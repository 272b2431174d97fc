package org.marjoramsail.core.discovery;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Requests the lists from another daemon; sent by a daemon that starts while they cannot be read.
 *
 * @param atMillis time of the request, on the clock of the requesting daemon
 */
public record ListingRequestMessage(long atMillis) implements PeerMessage {}
