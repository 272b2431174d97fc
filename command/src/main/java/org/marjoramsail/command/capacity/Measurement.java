package org.marjoramsail.command.capacity;

import java.util.List;

/**
 * What one part of a run measured.
 *
 * @param part the part
 * @param command the command that measures it again
 * @param seed the seed of all that is drawn
 * @param machine where it was measured
 * @param points what was measured
 */
public record Measurement(
    CapacityPart part, String command, long seed, Machine machine, List<Point> points) {

  /** Copies the list, so that the value cannot change. */
  public Measurement {
    points = List.copyOf(points);
  }
}
