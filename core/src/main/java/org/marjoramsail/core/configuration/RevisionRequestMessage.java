package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Request for a newer revision.
 *
 * @param haveRevision the revision that the requesting daemon has; zero for none
 */
public record RevisionRequestMessage(long haveRevision) implements PeerMessage {}
