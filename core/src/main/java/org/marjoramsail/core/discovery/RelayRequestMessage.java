package org.marjoramsail.core.discovery;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Message that asks another daemon to relay calls to upstreams.
 *
 * @param sentAtMillis when the message was sent, on the clock of its sender
 */
public record RelayRequestMessage(long sentAtMillis) implements PeerMessage {}
