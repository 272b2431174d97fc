package org.marjoramsail.daemon.request;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** What a caller sent, as upstreams get it. */
public sealed interface RequestContent {

  /**
   * For model engines.
   *
   * @param model the model that the engines run
   * @param prompt the prompt
   */
  record Generation(String model, String prompt) implements RequestContent {}

  /**
   * For a plain service.
   *
   * @param method HTTP method
   * @param path path and query below the service
   * @param headers headers that are passed on
   * @param body the body
   */
  record Plain(String method, String path, MultiMap headers, Buffer body)
      implements RequestContent {}
}
