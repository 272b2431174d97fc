package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.outcome.UpstreamFailure;

/** Waits for the deletion of a KV cache; of its response only the feedback is used. */
final class KvDeletion implements ForwardCall.Listener {

  /** Time within which an upstream responds, in milliseconds. */
  static final long TIMEOUT_MILLIS = 1_000;

  /** Maximum size of the response, in bytes. It has no content that is used. */
  private static final int MAXIMUM_BYTES = 64 << 10;

  private final ForwardDependencies dependencies;
  private final UpstreamDefinition holder;
  private final Runnable done;
  private int bodyBytes;

  /**
   * Creates a listener.
   *
   * @param holder the upstream that holds the KV cache
   * @param done called once the deletion is complete
   */
  KvDeletion(ForwardDependencies dependencies, UpstreamDefinition holder, Runnable done) {
    this.dependencies = dependencies;
    this.holder = holder;
    this.done = done;
  }

  /** Returns the request that deletes the KV cache of a prefill of another request. */
  static ForwardedRequest request(String path, ForwardedRequest prefilled) {
    return new ForwardedRequest(
        HttpMethod.DELETE,
        path,
        "",
        MultiMap.caseInsensitiveMultiMap(),
        Buffer.buffer(),
        false,
        prefilled.parameters(),
        prefilled.organisation());
  }

  @Override
  public boolean head(int status, MultiMap headers) {
    dependencies
        .feedback()
        .recordFeedback(holder, dependencies.protocol().feedbackOf(status, headers));
    return true;
  }

  @Override
  public Optional<UpstreamFailure> bytes(Buffer bytes) {
    bodyBytes += bytes.length();
    if (bodyBytes <= MAXIMUM_BYTES) {
      return Optional.empty();
    }
    dependencies.calls().exceeded(ResponseBound.BODY_BYTES);
    return Optional.of(UpstreamFailure.EXCESSIVE);
  }

  @Override
  public void end() {
    done.run();
  }

  @Override
  public void failed(UpstreamFailure failure) {
    // The KV cache expires by itself, and the request lifecycle repeats the deletion until it
    // gives up.
  }
}
