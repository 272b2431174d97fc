package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.marjoramsail.core.feedback.UpstreamFeedback;

/**
 * Translates the headers, paths and fields that are exchanged with callers and upstreams. It makes
 * no decisions about requests.
 */
public interface ForwardingProtocol {

  /** Returns the parameters in a caller's headers; missing and malformed values are absent. */
  CallerParameters parametersOf(MultiMap callerHeaders);

  /**
   * Returns the headers of a caller that are sent to upstreams, without those that concern one
   * connection or this program.
   */
  MultiMap forwardedHeaders(MultiMap callerHeaders);

  /** Adds the parameters of a forwarded request to its headers. */
  void addParameters(MultiMap headers, ForwardParameters parameters);

  /** Returns the headers of an upstream's response that are sent to the caller. */
  MultiMap returnedHeaders(MultiMap upstreamHeaders);

  /**
   * Classifies a response to a request by its status and headers.
   *
   * @param attempt the identifier of the request; empty if it has none
   * @param prefill whether the request asked only for a prefill
   */
  ResponseDisposition dispositionOf(int status, MultiMap headers, String attempt, boolean prefill);

  /**
   * Returns the identifier that a request or a response bears; empty if it bears none.
   *
   * @return for headers with several identifiers, a text that equals none of them
   */
  String attemptOf(MultiMap headers);

  /** Returns the name of the header that bears the identifier. */
  String attemptHeader();

  /** Returns whether a response bears the proof that its upstream made it. */
  boolean isProven(MultiMap upstreamHeaders);

  /** Returns what an upstream reports of itself in the head of any response. */
  UpstreamFeedback feedbackOf(int status, MultiMap upstreamHeaders);

  /**
   * Returns the prefilled prompt that the body of a prefill response describes; empty if it
   * describes none.
   */
  Optional<PrefilledPrompt> prefilledPrompt(Buffer body);

  /** Returns the path at which an upstream deletes a KV cache. */
  String handlePath(String handle);

  /**
   * Returns how long an upstream keeps an idle connection open, in milliseconds; empty if unknown.
   */
  Optional<Long> keepAliveMillis(MultiMap headers);

  /** Adds the identifier of the attempt to the headers of a response that this program writes. */
  void addAttempt(MultiMap headers, String attempt);
}
