package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;

/**
 * A caller's request as it is sent to upstreams.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param host host header of the caller
 * @param headers headers that are forwarded
 * @param body the complete body
 * @param hasBody whether the caller sent a body, which may be empty
 * @param parameters parameters that the caller sent in headers
 * @param organisation organisation of the caller; empty if callers need no key
 */
record ForwardedRequest(
    HttpMethod method,
    String uri,
    String host,
    MultiMap headers,
    Buffer body,
    boolean hasBody,
    CallerParameters parameters,
    Optional<String> organisation) {

  /** Returns a request that was read whole. */
  static ForwardedRequest of(AcceptedRequest accepted, Buffer body, ForwardingProtocol protocol) {
    HttpServerRequest request = accepted.request();
    boolean hasBody =
        body.length() > 0
            || request.headers().contains("content-length")
            || request.headers().contains("transfer-encoding");
    return new ForwardedRequest(
        request.method(),
        RequestTarget.of(request),
        RequestHead.host(request),
        protocol.forwardedHeaders(request.headers()),
        body,
        hasBody,
        accepted.parameters(),
        accepted.organisation().map(OrganisationDefinition::name));
  }
}
