package org.marjoramsail.core.stream;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Response to a {@link StreamQueryMessage}.
 *
 * @param key identifies the stream
 * @param knowledge what the daemon knows of it
 */
public record StreamResultMessage(StreamKey key, StreamKnowledge knowledge)
    implements PeerMessage {}
