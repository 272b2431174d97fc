package org.marjoramsail.core.membership;

/** Counts events for {@link MembershipStatistics}. */
final class MembershipCounts {

  long probes;
  long failedProbes;
  long suspicions;
  long refutations;
  long deaths;
  long revivals;
  long pauses;
  long digests;
  long states;

  MembershipStatistics statistics() {
    return new MembershipStatistics(
        probes, failedProbes, suspicions, refutations, deaths, revivals, pauses, digests, states);
  }
}
