package org.marjoramsail.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.marjoramsail.core.model.RequestId;

/**
 * A request for a plain service.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param method HTTP method
 * @param path path and query, relative to the service
 * @param headers the caller's headers to forward
 * @param body the caller's body
 */
public record PlainRequest(
    RequestId request, int attempt, String method, String path, MultiMap headers, Buffer body) {}
