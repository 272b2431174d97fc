package org.marjoramsail.daemon.settings;

/**
 * Which host the daemon runs on and where that stands.
 *
 * @param name unique among the daemons of a cluster
 * @param availabilityZone the availability zone of the host
 * @param region the region of the availability zone
 */
public record HostSettings(String name, String availabilityZone, String region) {}
