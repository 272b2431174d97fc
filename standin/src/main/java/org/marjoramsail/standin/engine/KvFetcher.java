package org.marjoramsail.standin.engine;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** Fetches KV caches from the engines that hold them. */
final class KvFetcher {

  /** How many prompt tokens the sending engine computed for this cache. */
  static final String COMPUTED_TOKENS_HEADER = "kv-computed-tokens";

  /** How many prompt tokens the sending engine had cached. */
  static final String CACHED_TOKENS_HEADER = "kv-cached-tokens";

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

  private final HttpClient client;
  private final EngineModel model;
  private final EngineFaults faults;

  KvFetcher(HttpClient client, EngineModel model, EngineFaults faults) {
    this.client = client;
    this.model = model;
    this.faults = faults;
  }

  /** Fetches the cache of an attempt and tells the model how it went. */
  void fetch(HeldAttempt attempt, KvSource source) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(source.address())
            .setPort(source.port())
            .setURI("/v1/kv/" + source.handle())
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client
        .request(options)
        .compose(
            request -> {
              attempt.whenReleased = () -> abandon(request);
              return request.send();
            })
        .compose(response -> response.body().map(body -> response))
        .onSuccess(response -> take(attempt, response))
        .onFailure(failure -> model.kvFailed(attempt, EngineRefusal.TRANSFER_FAILED));
  }

  private static void abandon(HttpClientRequest request) {
    if (!request.response().isComplete()) {
      request.reset();
    }
  }

  private void take(HeldAttempt attempt, HttpClientResponse response) {
    if (faults.isFailingTransfers()) {
      model.kvFailed(attempt, EngineRefusal.TRANSFER_FAILED);
    } else if (response.statusCode() == OK) {
      model.kvArrived(
          attempt,
          Integer.parseInt(response.getHeader(COMPUTED_TOKENS_HEADER)),
          Integer.parseInt(response.getHeader(CACHED_TOKENS_HEADER)));
    } else if (response.statusCode() == GONE) {
      model.kvFailed(attempt, EngineRefusal.KV_EXPIRED);
    } else {
      model.kvFailed(attempt, EngineRefusal.TRANSFER_FAILED);
    }
  }
}
