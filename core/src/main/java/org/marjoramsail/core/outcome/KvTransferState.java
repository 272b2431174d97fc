package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/** State of one request's KV cache between its prefill and its import by a decode upstream. */
final class KvTransferState {

  private final LifecyclePolicy policy;
  private final OutstandingAttempts outstanding;
  private Optional<KvSource> source = Optional.empty();

  KvTransferState(LifecyclePolicy policy, OutstandingAttempts outstanding) {
    this.policy = policy;
    this.outstanding = outstanding;
  }

  Optional<KvSource> source() {
    return source;
  }

  void store(KvSource newSource) {
    source = Optional.of(newSource);
  }

  /**
   * Returns the KV cache if it remains valid long enough for another decode upstream to fetch it.
   */
  Optional<KvSource> usable(long nowMillis) {
    return source.filter(
        current -> nowMillis + policy.kvMarginMillis() < current.expiresAtMillis());
  }

  boolean isUsableOn(Optional<UpstreamName> holder, long nowMillis) {
    return usable(nowMillis)
        .map(KvSource::holder)
        .filter(current -> holder.equals(Optional.of(current)))
        .isPresent();
  }

  /**
   * Releases the KV cache, after a decode upstream has imported it or reported that it has expired.
   */
  void release() {
    source.ifPresent(current -> outstanding.release(current.attempt(), current.holder()));
    source = Optional.empty();
  }

  /** Removes and returns the KV cache without a release, since an attempt may still fetch it. */
  Optional<KvSource> detach() {
    Optional<KvSource> detached = source;
    source = Optional.empty();
    return detached;
  }

  /** Stores the KV cache of an attempt that becomes the current one again. */
  void attach(Optional<KvSource> detached) {
    source = detached;
  }

  void releaseExpired(long nowMillis) {
    if (source.filter(current -> nowMillis >= current.expiresAtMillis()).isPresent()) {
      release();
    }
  }

  void holderRestarted(UpstreamName holder) {
    source = source.filter(current -> !current.holder().equals(holder));
  }

  /**
   * Returns the cancels that make the prefill upstream discard the KV cache, as another replaces
   * it.
   */
  List<LifecycleAction> cancel(long nowMillis) {
    return cancel(detach(), nowMillis);
  }

  /** Returns the cancels that make the holder of a detached KV cache discard it. */
  List<LifecycleAction> cancel(Optional<KvSource> detached, long nowMillis) {
    return detached
        .map(held -> outstanding.cancel(held.attempt(), held.holder(), nowMillis))
        .orElseGet(List::of);
  }
}
