package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Message with the revision that the sender has. If the receiver has a newer one, it sends it; if
 * it has an older one, it requests the newer one.
 *
 * @param revision the revision; zero for none
 */
public record RevisionDigestMessage(long revision) implements PeerMessage {}
