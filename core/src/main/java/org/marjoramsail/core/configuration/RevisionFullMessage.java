package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Message with a complete configuration, for a daemon that cannot be updated by deltas.
 *
 * @param revision the revision of the configuration
 * @param packed the configuration, serialised by a {@link ConfigurationPacker}
 */
public record RevisionFullMessage(long revision, String packed) implements PeerMessage {}
