package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * A change of an engine's role.
 *
 * @param upstream the engine
 * @param role the new role
 */
public record RoleChange(UpstreamName upstream, UpstreamRole role) {}
