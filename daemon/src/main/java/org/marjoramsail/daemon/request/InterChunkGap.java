package org.marjoramsail.daemon.request;

import org.marjoramsail.core.model.UpstreamName;

/**
 * The longest inter-chunk gap of a stream.
 *
 * @param afterChunk number of chunks before the gap
 * @param millis length of the gap
 * @param upstream the upstream that generated the stream when the gap ended
 */
public record InterChunkGap(int afterChunk, long millis, UpstreamName upstream) {

  @Override
  public String toString() {
    return millis + " ms after piece " + afterChunk + " on " + upstream;
  }
}
