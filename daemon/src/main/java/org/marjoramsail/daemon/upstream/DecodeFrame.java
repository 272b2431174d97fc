package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.marjoramsail.core.model.RequestId;

/**
 * One line of a decode stream.
 *
 * @param request whose
 * @param attempt which attempt
 * @param index index of the token, or the number of tokens in the last frame
 * @param text text of the token; absent in the last frame
 * @param done whether it is the last frame
 * @param finishReason why the engine stopped; in the last frame
 * @param promptTokens length of the prompt; in the last frame
 * @param cachedTokens how much of it was cached; in the last frame
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record DecodeFrame(
    RequestId request,
    int attempt,
    int index,
    String text,
    boolean done,
    String finishReason,
    int promptTokens,
    int cachedTokens) {

  /** Whether every field that its kind of frame needs is there. */
  boolean isComplete() {
    return request != null && index >= 0 && (done ? finishReason != null : text != null);
  }
}
