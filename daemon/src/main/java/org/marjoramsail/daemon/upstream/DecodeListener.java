package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.outcome.UpstreamFailure;

/** Receives the frames of a decode stream, up to the last frame or one failure. */
public interface DecodeListener {

  /** Handles one frame, including the last one. */
  void frame(DecodeFrame frame);

  /** Handles the failure of the stream; no further call follows. */
  void failed(UpstreamFailure failure);
}
