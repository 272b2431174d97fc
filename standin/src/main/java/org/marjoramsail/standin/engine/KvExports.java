package org.marjoramsail.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** KV caches of prompts that were read, kept for a short life until another engine fetches them. */
final class KvExports {

  /** One cache. */
  static final class Export {
    final String handle;
    final HeldAttempt attempt;
    final long bytes;
    final long expiresAtMicros;
    int transfers;

    Export(String handle, HeldAttempt attempt, long bytes, long expiresAtMicros) {
      this.handle = handle;
      this.attempt = attempt;
      this.bytes = bytes;
      this.expiresAtMicros = expiresAtMicros;
    }
  }

  private final KvMemory memory;
  private final AuditBook audit;
  private final Map<String, Export> exports = new LinkedHashMap<>();

  KvExports(KvMemory memory, AuditBook audit) {
    this.memory = memory;
    this.audit = audit;
  }

  void add(Export export) {
    exports.put(export.handle, export);
  }

  /** The cache with a handle, if it still lives. */
  Optional<Export> find(String handle, long nowMicros) {
    expire(nowMicros);
    return Optional.ofNullable(exports.get(handle));
  }

  /** Frees a cache that was fetched in full. */
  void fetched(Export export) {
    if (exports.remove(export.handle) != null) {
      memory.free(export.bytes);
    }
  }

  /** Frees all caches whose life is over and that no transfer reads. */
  void expire(long nowMicros) {
    Iterator<Export> oldestFirst = exports.values().iterator();
    while (oldestFirst.hasNext()) {
      Export export = oldestFirst.next();
      if (export.expiresAtMicros > nowMicros) {
        return;
      }
      if (export.transfers == 0) {
        oldestFirst.remove();
        discard(export, WasteReason.KV_EXPIRED);
      }
    }
  }

  /** Frees the caches of some attempts and says how many they were. */
  int drop(Predicate<HeldAttempt> unwanted, WasteReason reason) {
    List<Export> dropped =
        exports.values().stream().filter(export -> unwanted.test(export.attempt)).toList();
    for (Export export : dropped) {
      exports.remove(export.handle);
      discard(export, reason);
    }
    return dropped.size();
  }

  private void discard(Export export, WasteReason reason) {
    memory.free(export.bytes);
    audit.wasted(reason, export.attempt.freshTokens);
  }

  List<HeldAttempt> attempts() {
    return exports.values().stream().map(export -> export.attempt).toList();
  }

  boolean isHolding(Export export) {
    return exports.containsKey(export.handle);
  }
}
