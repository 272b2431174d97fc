package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Says which revision is in force.
 *
 * @param question the question that it answers
 * @param revision zero for none
 * @param source where the daemon learned it
 */
public record RevisionStatusMessage(long question, long revision, RevisionSource source)
    implements PeerMessage {}
