package org.marjoramsail.command.capacity;

import org.marjoramsail.core.time.Clock;

/**
 * What the parts run with.
 *
 * @param clock the time
 * @param seed decides all that is drawn
 */
public record Bench(Clock clock, long seed) {}
