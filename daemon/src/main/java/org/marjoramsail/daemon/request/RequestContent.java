package org.marjoramsail.daemon.request;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** Content of a request that is passed on to upstreams. */
public sealed interface RequestContent {

  /**
   * Content for model engines.
   *
   * @param model name of the model
   * @param prompt the prompt
   */
  record Generation(String model, String prompt) implements RequestContent {}

  /**
   * Content for a plain service.
   *
   * @param method HTTP method
   * @param path path and query below the service
   * @param headers the headers to pass on
   * @param body the body
   */
  record Plain(String method, String path, MultiMap headers, Buffer body)
      implements RequestContent {}
}
