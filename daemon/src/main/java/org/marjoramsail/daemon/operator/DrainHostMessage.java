package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.message.PeerMessage;

/** Tells a daemon to hand over its shards and to say that it is leaving. */
public record DrainHostMessage() implements PeerMessage {}
