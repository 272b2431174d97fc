package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks for whatever is newer.
 *
 * @param haveRevision what the asking daemon has; zero for none
 */
public record RevisionRequestMessage(long haveRevision) implements PeerMessage {}
