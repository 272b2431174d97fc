package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.DaemonId;

/**
 * The parameters for the creation of a placer.
 *
 * @param shard the shard that it serves
 * @param configuration the configuration in force
 * @param settings initial estimates and bounds
 * @param zoneOf returns the availability zone of a daemon, where it is known
 * @param random seeded by the caller; only some policies draw from it
 * @param isTakenOver whether another owner may have granted attempts before, so that this placer
 *     waits for them to be restored; false where the shard never had an owner
 */
public record PlacerSetup(
    ShardId shard,
    Configuration configuration,
    PlacementSettings settings,
    Function<DaemonId, Optional<String>> zoneOf,
    RandomGenerator random,
    boolean isTakenOver) {}
