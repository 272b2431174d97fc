package org.marjoramsail.core.membership;

/**
 * What a failure detector has counted since it started.
 *
 * @param probes pings of daemons of the own region
 * @param failedProbes those that nobody answered
 * @param suspicions beliefs that became suspect
 * @param refutations suspicions of this daemon that it refuted
 * @param deaths beliefs that became dead
 * @param revivals dead runs that proved to be alive
 * @param pauses times at which this process was found to have been paused
 * @param digests comparisons of the full state that were started
 * @param states answers to a digest that differed
 */
public record MembershipStatistics(
    long probes,
    long failedProbes,
    long suspicions,
    long refutations,
    long deaths,
    long revivals,
    long pauses,
    long digests,
    long states) {}
