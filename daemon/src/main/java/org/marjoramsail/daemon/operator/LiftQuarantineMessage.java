package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Tells a daemon that remembers a content or a part of prompts to clear it, there and on all
 * others.
 *
 * @param fingerprint names the content or the part
 */
public record LiftQuarantineMessage(long fingerprint) implements PeerMessage {}
