package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The chunks in which an output is streamed.
 *
 * @param tokens the number of tokens in a chunk
 * @param longestPauseMillis the longest time between two chunks that meets the latency targets
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamChunking(int tokens, long longestPauseMillis) {

  /** One token in each chunk, with no limit on the pauses. */
  public static final StreamChunking SINGLE_TOKENS = new StreamChunking(1, Long.MAX_VALUE);
}
