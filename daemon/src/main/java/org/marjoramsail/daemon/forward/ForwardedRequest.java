package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

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
    Optional<String> organisation) {}
