package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.marjoramsail.core.feedback.UpstreamFeedback;

/**
 * Names of headers, calls and fields between callers, this program and upstreams. It only
 * translates: what is sent where, and what an answer leads to, is decided elsewhere.
 */
public interface ForwardingProtocol {

  /** What a caller says of its request; what it does not say, or says wrongly, is absent. */
  CallerParameters parametersOf(MultiMap callerHeaders);

  /** The headers of a caller that upstreams get: not those of one connection or of this program. */
  MultiMap forwardedHeaders(MultiMap callerHeaders);

  /** Adds what this program tells an upstream. */
  void addParameters(MultiMap headers, ForwardParameters parameters);

  /** The headers of an upstream's answer that the caller gets. */
  MultiMap returnedHeaders(MultiMap upstreamHeaders);

  /**
   * What an answer says, by its status and headers.
   *
   * @param attempt the try that it should answer
   * @param prefill whether only the reading of the prompt was asked for
   */
  ResponseDisposition dispositionOf(int status, MultiMap headers, String attempt, boolean prefill);

  /** What an upstream says of itself in the head of an answer, whatever else that answers. */
  UpstreamFeedback feedbackOf(int status, MultiMap upstreamHeaders);

  /** The handle of a KV cache, from the body of the answer to a prefill; empty if there is none. */
  Optional<PrefilledPrompt> prefilledPrompt(Buffer body);

  /** The path at which the holder of a KV cache is told to drop it. */
  String handlePath(String handle);

  /** How long, in milliseconds, an upstream keeps an idle connection open; empty if unknown. */
  Optional<Long> keepAliveMillis(MultiMap headers);

  /** Adds to an answer of this program which request it answers. */
  void addAttempt(MultiMap headers, String attempt);
}
