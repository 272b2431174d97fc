package org.marjoramsail.core.discovery;

import org.marjoramsail.core.configuration.UpstreamDefinition;

/**
 * Entry of an upstream in the platform's list.
 *
 * @param definition address and role; drained once the upstream reports that it is draining
 * @param revision state of the store at the last change of the entry
 */
public record ListedUpstream(UpstreamDefinition definition, StoreRevision revision) {}
