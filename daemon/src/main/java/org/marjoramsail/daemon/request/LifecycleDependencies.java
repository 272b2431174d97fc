package org.marjoramsail.daemon.request;

import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.Quarantine;

/**
 * Objects that the lifecycles of all requests of a daemon use.
 *
 * @param quarantine detects requests whose content crashes upstreams
 * @param invariants handles violated invariants of the program
 * @param sendReports sends the new reports of the quarantine to the other daemons
 */
public record LifecycleDependencies(
    Quarantine quarantine, Invariants invariants, Runnable sendReports) {}
