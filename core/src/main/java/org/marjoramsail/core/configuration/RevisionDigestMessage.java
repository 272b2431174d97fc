package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Says which revision a daemon has; whoever has the older one gets the newer.
 *
 * @param revision zero for none
 */
public record RevisionDigestMessage(long revision) implements PeerMessage {}
