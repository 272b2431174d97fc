package org.marjoramsail.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.marjoramsail.core.model.RequestId;

/**
 * A request for a plain service.
 *
 * @param request whose
 * @param attempt which attempt
 * @param method HTTP method
 * @param path path and query below the service
 * @param headers the caller's headers that are passed on
 * @param body the caller's body
 */
public record PlainRequest(
    RequestId request, int attempt, String method, String path, MultiMap headers, Buffer body) {}
