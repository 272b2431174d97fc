package org.marjoramsail.core.membership;

/**
 * Counters of a failure detector since its start.
 *
 * @param probes pings of daemons of the own region
 * @param failedProbes pings without a direct or indirect response
 * @param suspicions daemons that became suspect
 * @param refutations suspicions of this daemon that it refuted
 * @param deaths daemons that were declared dead
 * @param revivals daemons that were declared dead and turned out to be alive
 * @param pauses detected pauses of this process
 * @param digests comparisons of the table that this daemon started
 * @param states responses to a digest that differed
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
