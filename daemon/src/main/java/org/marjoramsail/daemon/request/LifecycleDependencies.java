package org.marjoramsail.daemon.request;

import java.util.function.Supplier;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.RetryBudget;

/**
 * Objects that the lifecycles of all requests of a daemon use.
 *
 * @param quarantine detects requests whose content crashes upstreams
 * @param invariants handles violated invariants of the program
 * @param budgets creates the retry budget of a service; called once for each service
 */
public record LifecycleDependencies(
    Quarantine quarantine, Invariants invariants, Supplier<RetryBudget> budgets) {}
