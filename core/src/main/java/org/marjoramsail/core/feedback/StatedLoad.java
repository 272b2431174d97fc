package org.marjoramsail.core.feedback;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.OptionalInt;

/**
 * Load of an upstream at the time of one response, as the upstream states it.
 *
 * @param running number of requests that run
 * @param waiting number of requests that wait at the upstream
 * @param slots number of requests that it runs at once
 * @param slowdownPercent how long work takes on its machine at that time, relative to usual: 100 if
 *     as usual; empty if not stated
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StatedLoad(int running, int waiting, int slots, OptionalInt slowdownPercent) {

  /** Replaces a slowdown that is missing in an encoded message by an absent one. */
  public StatedLoad {
    slowdownPercent = slowdownPercent == null ? OptionalInt.empty() : slowdownPercent;
  }
}
