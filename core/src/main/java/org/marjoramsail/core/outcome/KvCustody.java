package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/** The KV cache of one request between its prefill and its import by a decode upstream. */
final class KvCustody {

  private final LifecyclePolicy policy;
  private final HeldAttempts held;
  private Optional<KvSource> source = Optional.empty();

  KvCustody(LifecyclePolicy policy, HeldAttempts held) {
    this.policy = policy;
    this.held = held;
  }

  Optional<KvSource> source() {
    return source;
  }

  void take(KvSource made) {
    source = Optional.of(made);
  }

  /** The KV cache, when enough of its life remains for another decode upstream to fetch it. */
  Optional<KvSource> living(long nowMillis) {
    return source.filter(kept -> nowMillis + policy.kvMarginMillis() < kept.expiresAtMillis());
  }

  boolean isLivingOn(Optional<UpstreamName> holder, long nowMillis) {
    return living(nowMillis)
        .map(KvSource::holder)
        .filter(one -> holder.equals(Optional.of(one)))
        .isPresent();
  }

  /** The decode upstream has imported it, or says that it is gone: its holder has nothing. */
  void released() {
    source.ifPresent(kept -> held.release(kept.attempt(), kept.holder()));
    source = Optional.empty();
  }

  void releaseExpired(long nowMillis) {
    if (source.filter(kept -> nowMillis >= kept.expiresAtMillis()).isPresent()) {
      released();
    }
  }

  void holderRestarted(UpstreamName holder) {
    source = source.filter(kept -> !kept.holder().equals(holder));
  }

  /** Has its holder drop it, since another prefill takes its place. */
  List<LifecycleAction> cancel(long nowMillis) {
    List<LifecycleAction> cancels =
        source
            .map(kept -> held.cancel(kept.attempt(), kept.holder(), nowMillis))
            .orElseGet(List::of);
    source = Optional.empty();
    return cancels;
  }
}
