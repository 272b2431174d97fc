package org.marjoramsail.daemon.operator;

import java.util.Optional;
import org.marjoramsail.daemon.settings.OperatorRole;

/**
 * Who sends a request.
 *
 * @param name the name of the token
 * @param role what its holder may do
 * @param organisation the only organisation whose rows its holder sees; absent for all
 */
public record OperatorIdentity(String name, OperatorRole role, Optional<String> organisation) {}
