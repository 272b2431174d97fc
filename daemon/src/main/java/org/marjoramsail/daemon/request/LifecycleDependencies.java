package org.marjoramsail.daemon.request;

import java.util.function.Supplier;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.RetryBudget;

/**
 * What all requests of a daemon share in their decisions.
 *
 * @param quarantine contents that crash upstreams
 * @param invariants what to do when the program itself is at fault
 * @param budgets makes the retry budget of a service, once for each
 */
public record LifecycleDependencies(
    Quarantine quarantine, Invariants invariants, Supplier<RetryBudget> budgets) {}
