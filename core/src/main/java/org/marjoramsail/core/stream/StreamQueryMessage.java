package org.marjoramsail.core.stream;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks a daemon for the origin of a stream that a caller resumes.
 *
 * @param key identifies the stream
 */
public record StreamQueryMessage(StreamKey key) implements PeerMessage {}
