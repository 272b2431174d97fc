package org.marjoramsail.core.placement;

import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.DaemonId;

/**
 * All that a placer needs from the start.
 *
 * @param shard the shard that it decides for
 * @param configuration the configuration in force
 * @param settings first estimates and bounds
 * @param zoneOf the availability zone of a daemon, where it is known
 * @param random seeded by the caller; only some policies draw from it
 * @param isTakenOver whether another owner may have granted before, so that this one has to settle;
 *     false where the shard was never owned
 */
public record PlacerSetup(
    ShardId shard,
    Configuration configuration,
    PlacementSettings settings,
    Function<DaemonId, Optional<String>> zoneOf,
    RandomGenerator random,
    boolean isTakenOver) {}
