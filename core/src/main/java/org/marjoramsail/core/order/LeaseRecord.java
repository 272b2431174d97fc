package org.marjoramsail.core.order;

import java.util.Optional;

/**
 * A lease as stored.
 *
 * <p>It contains no time: the holder counts from before it sent the renewal, other daemons from
 * when they first read it, each by its own clock.
 *
 * @param holder the incarnation of the daemon that holds the lease; empty after a release
 * @param token fencing token, which increases with each change of holder
 * @param renewal identifier of this write, by which its writer recognises it
 */
public record LeaseRecord(Optional<String> holder, long token, String renewal) {}
