package org.marjoramsail.daemon.settings;

import java.util.Optional;

/**
 * A bearer token of an operator.
 *
 * @param name who it is, as the audit records say
 * @param sha256 the SHA-256 of the token, in hexadecimal
 * @param role what its holder may do
 * @param organisation the only organisation whose requests and limits its holder sees; absent for
 *     all
 */
public record OperatorToken(
    String name, String sha256, OperatorRole role, Optional<String> organisation) {}
