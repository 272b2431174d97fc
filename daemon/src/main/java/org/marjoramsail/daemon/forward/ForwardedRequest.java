package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * A caller's request as upstreams get it.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param host the host that the caller named
 * @param headers the headers that are passed on
 * @param body the whole body
 * @param hasBody whether the caller sent a body, be it empty
 * @param parameters what the caller says of it
 * @param organisation whose request it is; empty where callers need no key
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
