package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.outcome.UpstreamFailure;

/** Hears a decode stream: frames, then nothing after the last frame, or one failure. */
public interface DecodeListener {

  /** Takes one frame, the last included. */
  void frame(DecodeFrame frame);

  /** Takes that the stream failed; nothing follows. */
  void failed(UpstreamFailure failure);
}
