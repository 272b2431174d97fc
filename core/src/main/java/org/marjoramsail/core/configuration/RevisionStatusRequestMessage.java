package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks which revision is in force, for an operator.
 *
 * @param question repeated in the answer
 */
public record RevisionStatusRequestMessage(long question) implements PeerMessage {}
