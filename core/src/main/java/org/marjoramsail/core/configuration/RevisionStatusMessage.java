package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Response with the revision in force on a daemon.
 *
 * @param question identifier of the request
 * @param revision the revision; zero for none
 * @param source the source of the revision
 */
public record RevisionStatusMessage(long question, long revision, RevisionSource source)
    implements PeerMessage {}
