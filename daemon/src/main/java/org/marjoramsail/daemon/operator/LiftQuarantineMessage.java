package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Message that requests a daemon that stores a content or a prompt part as a suspect to clear it,
 * on itself and on all others.
 *
 * @param fingerprint fingerprint of the content or the part
 */
public record LiftQuarantineMessage(long fingerprint) implements PeerMessage {}
