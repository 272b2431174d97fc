package org.marjoramsail.core.configuration;

import org.marjoramsail.core.message.PeerMessage;

/**
 * A whole configuration, for a daemon that no delta reaches.
 *
 * @param revision its revision
 * @param packed the configuration as a {@link ConfigurationPacker} packs it
 */
public record RevisionFullMessage(long revision, String packed) implements PeerMessage {}
