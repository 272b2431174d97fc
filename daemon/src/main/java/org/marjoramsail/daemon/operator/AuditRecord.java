package org.marjoramsail.daemon.operator;

import java.util.Optional;

/**
 * Who ordered what, and what became of it.
 *
 * @param order names the order
 * @param atMillis wall-clock time, in milliseconds since 1970
 * @param host the daemon that took the order
 * @param operator the name of the token
 * @param organisation the organisation to which the token is confined
 * @param statement what was ordered, in its canonical spelling
 * @param outcome accepted, done, or the reason of the refusal
 */
public record AuditRecord(
    String order,
    long atMillis,
    String host,
    String operator,
    Optional<String> organisation,
    String statement,
    String outcome) {}
