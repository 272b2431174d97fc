package org.marjoramsail.daemon.request;

import org.marjoramsail.core.model.UpstreamName;

/**
 * The longest pause of a stream.
 *
 * @param afterPiece how many pieces the caller had when it began
 * @param millis how long the caller waited for the next one
 * @param upstream who generated the stream then
 */
public record StreamPause(int afterPiece, long millis, UpstreamName upstream) {

  @Override
  public String toString() {
    return millis + " ms after piece " + afterPiece + " on " + upstream;
  }
}
