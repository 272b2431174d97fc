package org.marjoramsail.daemon.request;

import org.marjoramsail.core.model.UpstreamName;

/**
 * The longest pause of a stream.
 *
 * @param afterChunk how many pieces the caller had when it began
 * @param millis how long the caller waited for the next one
 * @param upstream who generated the stream then
 */
public record InterChunkGap(int afterChunk, long millis, UpstreamName upstream) {

  @Override
  public String toString() {
    return millis + " ms after piece " + afterChunk + " on " + upstream;
  }
}
