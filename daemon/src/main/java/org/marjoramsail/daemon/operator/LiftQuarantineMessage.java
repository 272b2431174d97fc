package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Tells a daemon that remembers a content to clear it, there and on all others.
 *
 * @param fingerprint names the content
 */
public record LiftQuarantineMessage(long fingerprint) implements PeerMessage {}
