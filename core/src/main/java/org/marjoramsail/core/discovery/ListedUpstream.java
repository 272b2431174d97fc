package org.marjoramsail.core.discovery;

import org.marjoramsail.core.configuration.UpstreamDefinition;

/**
 * An upstream as the platform's list shows it.
 *
 * @param definition where it is and what it does; drained once it says that it is leaving
 * @param revision the state of the store at its last change
 */
public record ListedUpstream(UpstreamDefinition definition, StoreRevision revision) {}
