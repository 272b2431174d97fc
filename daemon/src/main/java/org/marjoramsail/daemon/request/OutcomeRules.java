package org.marjoramsail.daemon.request;

import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.Quarantine;

/**
 * What all requests of a daemon share in their decisions.
 *
 * @param policy bounds of tries and waits
 * @param quarantine contents that crash upstreams
 * @param invariants what to do when the program itself is at fault
 * @param retryReserve how many retries each service may save up
 */
public record OutcomeRules(
    LifecyclePolicy policy, Quarantine quarantine, Invariants invariants, int retryReserve) {}
