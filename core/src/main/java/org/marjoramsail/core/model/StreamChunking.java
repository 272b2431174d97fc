package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * In which pieces an answer comes.
 *
 * @param tokens how many tokens one piece carries
 * @param longestPauseMillis the longest time between two pieces of an answer that is in time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamChunking(int tokens, long longestPauseMillis) {

  /** One token a piece, in any time. */
  public static final StreamChunking SINGLE_TOKENS = new StreamChunking(1, Long.MAX_VALUE);
}
