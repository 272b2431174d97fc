package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * An engine that would be of more use in another role.
 *
 * @param upstream which
 * @param role the role that it should have
 */
public record RoleChange(UpstreamName upstream, UpstreamRole role) {}
