package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.outcome.UpstreamFailure;

/** Receives a decode stream: frames, then nothing after the last frame, or one failure. */
public interface DecodeListener {

  /** Handles one frame, the last included. */
  void frame(DecodeFrame frame);

  /** Records that the stream failed; nothing follows. */
  void failed(UpstreamFailure failure);
}
