package org.marjoramsail.core.outcome;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/** An upstream of the simulation, with the attempts that it holds and those that were cancelled. */
final class FuzzedUpstream {

  record Key(RequestId request, int attempt) {}

  /** An attempt that the upstream runs or whose KV cache it keeps. */
  static final class Work {
    final FuzzedRequest request;
    final int attempt;
    final boolean kv;
    int nextIndex;
    long expiresAtMillis = Long.MAX_VALUE;

    Work(FuzzedRequest request, int attempt, boolean kv, int nextIndex) {
      this.request = request;
      this.attempt = attempt;
      this.kv = kv;
      this.nextIndex = nextIndex;
    }

    /** Sets when the KV cache expires; a repeated response does not extend it. */
    void setExpiry(long atMillis) {
      expiresAtMillis = Math.min(expiresAtMillis, atMillis);
    }
  }

  final UpstreamName name;
  final Map<Key, Work> held = new HashMap<>();
  private final Set<Key> cancelled = new HashSet<>();
  long incarnation = 1;

  FuzzedUpstream(String name) {
    this.name = new UpstreamName(name);
  }

  /** Returns whether an attempt that arrives now is accepted. */
  boolean accepts(RequestId request, int attempt) {
    return !cancelled.contains(new Key(request, attempt));
  }

  void hold(Work work) {
    held.put(new Key(work.request.id(), work.attempt), work);
  }

  Optional<Work> find(RequestId request, int attempt) {
    return Optional.ofNullable(held.get(new Key(request, attempt)));
  }

  void drop(RequestId request, int attempt) {
    held.remove(new Key(request, attempt));
  }

  void cancel(RequestId request, int attempt) {
    cancelled.add(new Key(request, attempt));
    drop(request, attempt);
  }

  void expire(long nowMillis) {
    held.values().removeIf(work -> nowMillis >= work.expiresAtMillis);
  }

  void crash() {
    incarnation++;
    held.clear();
    cancelled.clear();
  }
}
