package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.marjoramsail.core.model.RequestId;

/**
 * One line of a decode stream.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param index index of the token, or the number of tokens in the last frame
 * @param text the text of the token; absent in the last frame
 * @param done whether it is the last frame
 * @param finishReason why the engine stopped; only in the last frame
 * @param promptTokens length of the prompt; only in the last frame
 * @param cachedTokens number of cached prompt tokens; only in the last frame
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

  /** Returns whether all fields that this kind of frame requires are present. */
  boolean isComplete() {
    return request != null && index >= 0 && (done ? finishReason != null : text != null);
  }
}
