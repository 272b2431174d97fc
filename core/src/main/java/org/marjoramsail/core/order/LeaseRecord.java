package org.marjoramsail.core.order;

import java.util.Optional;

/**
 * A lease as the store holds it.
 *
 * <p>It has no time in it: the holder counts from before it sent the renewal, others from when they
 * first saw it, each on a clock of its own.
 *
 * @param holder the run of a daemon that holds it; empty when it was given back
 * @param token rises with each change of holder
 * @param renewal names this writing of it, so that a writer knows its own again
 */
public record LeaseRecord(Optional<String> holder, long token, String renewal) {}
