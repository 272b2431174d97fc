package org.marjoramsail.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * The whole answer of a plain service.
 *
 * @param status HTTP status
 * @param headers its headers that are passed on
 * @param body its body
 */
public record PlainResponse(int status, MultiMap headers, Buffer body) {}
