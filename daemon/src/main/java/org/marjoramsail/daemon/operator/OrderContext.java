package org.marjoramsail.daemon.operator;

import java.util.Optional;
import org.marjoramsail.core.configuration.OrderId;

/**
 * How orders were given.
 *
 * @param operator who gave them
 * @param order names them together; the same again has no further effect
 * @param isDryRun whether they are only tried
 * @param baseRevision the revision that the operator saw, where one was named
 * @param summary what was said, in its canonical spelling
 */
public record OrderContext(
    OperatorIdentity operator,
    OrderId order,
    boolean isDryRun,
    Optional<Long> baseRevision,
    String summary) {}
