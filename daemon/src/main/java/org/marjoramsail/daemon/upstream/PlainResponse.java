package org.marjoramsail.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Complete response of a plain service.
 *
 * @param status HTTP status
 * @param headers the headers to forward
 * @param body the body
 */
public record PlainResponse(int status, MultiMap headers, Buffer body) {}
