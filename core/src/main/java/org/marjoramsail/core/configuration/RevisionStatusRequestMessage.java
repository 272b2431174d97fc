package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Request for the revision in force on a daemon, on behalf of an operator.
 *
 * @param question identifier of the request; repeated in the response
 */
public record RevisionStatusRequestMessage(long question) implements PeerMessage {}
