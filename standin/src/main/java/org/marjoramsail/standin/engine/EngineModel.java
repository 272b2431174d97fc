package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.placement.PrefixHasher;
import org.marjoramsail.standin.server.ScaledTime;

/**
 * One incarnation of an engine: everything that a crash forgets.
 *
 * <p>Not safe for several threads; the stand-in calls it on one Vert.x context.
 */
final class EngineModel implements BatchEvents {

  private static final long MICROS_PER_MILLI = 1_000;

  private final EngineSettings settings;
  private final ScaledTime time;
  private final EngineFaults faults;
  private final AuditBook audit;
  private final long incarnation;
  private final Runnable poisoned;
  private final KvMemory memory;
  private final EngineBatch batch;
  private final KvExports exports;
  private final CacheEvents cacheEvents;
  private final PrefixCache prefixCache;
  private final Link egress;
  private final Link ingress;
  private final CancelBook cancels = new CancelBook();
  private final EngineIdentity identity;
  private final Map<AttemptKey, HeldAttempt> held = new LinkedHashMap<>();
  private final Set<AttemptSink> unflushed = new LinkedHashSet<>();
  private long handles;
  private boolean crashed;

  /**
   * Starts empty.
   *
   * @param poisoned called once when a poisonous prompt begins to take effect
   */
  EngineModel(
      EngineSettings settings,
      ScaledTime time,
      EngineFaults faults,
      AuditBook audit,
      RandomGenerator random,
      long incarnation,
      Runnable poisoned) {
    this.settings = settings;
    this.time = time;
    this.faults = faults;
    this.audit = audit;
    this.incarnation = incarnation;
    this.poisoned = poisoned;
    EngineTimings timings = settings.timings();
    this.memory = new KvMemory(settings.kvCapacityBytes());
    this.batch = new EngineBatch(settings, memory, faults::slowness, this);
    this.exports = new KvExports(memory, audit);
    this.cacheEvents =
        new CacheEvents(timings.cacheEventLagMillis(), timings.cacheEventLossShare(), random);
    this.prefixCache = new PrefixCache(settings.prefixCacheBlocks(), cacheEvents);
    this.egress = new Link(timings.linkBytesPerSecond());
    this.ingress = new Link(timings.linkBytesPerSecond());
    this.identity = new EngineIdentity(settings);
    audit.incarnated(incarnation);
  }

  /** Works out what the model needs to know of a prompt. */
  HeldAttempt.Prompt read(String prompt) {
    return new HeldAttempt.Prompt(
        PrefixHasher.tokenCount(prompt),
        PrefixHasher.hashes(prompt, settings.prefixCacheBlocks()),
        TokenText.seed(prompt),
        faults.isPoisonous(prompt));
  }

  /** Admits an attempt, or says why not. */
  Optional<EngineRefusal> accept(HeldAttempt attempt, String model) {
    advance();
    Optional<EngineRefusal> refusal = refusalFor(attempt, model);
    if (refusal.isPresent()) {
      audit.refused(refusal.get().code());
      return refusal;
    }
    audit.accepted(settings.slots());
    held.put(attempt.key, attempt);
    attempt.arrivedMicros = time.micros();
    batch.add(attempt, attempt.arrivedMicros);
    settle();
    return Optional.empty();
  }

  private Optional<EngineRefusal> refusalFor(HeldAttempt attempt, String model) {
    if (crashed || identity.isLeaving()) {
      return Optional.of(EngineRefusal.LEAVING);
    }
    if (!identity.runs(model)) {
      return Optional.of(EngineRefusal.UNKNOWN_MODEL);
    }
    if (identity.role().isGenerating() != attempt.generating) {
      return Optional.of(EngineRefusal.WRONG_ROLE);
    }
    if (cancels.isCancelled(attempt.key, attempt.holder)) {
      return Optional.of(EngineRefusal.CANCELLED);
    }
    if (held.containsKey(attempt.key)) {
      audit.duplicateArrived();
      return Optional.of(EngineRefusal.DUPLICATE_ATTEMPT);
    }
    if (!memory.canEverHold(batch.kvBytes(attempt))) {
      return Optional.of(EngineRefusal.PROMPT_TOO_LONG);
    }
    if (held.size() >= settings.slots() + settings.queueLimit()) {
      return Optional.of(EngineRefusal.FULL);
    }
    return Optional.empty();
  }

  /** Lets everything happen that is due by now. */
  void advance() {
    if (crashed) {
      return;
    }
    long now = time.micros();
    egress.advance(now);
    ingress.advance(now);
    exports.expire(now);
    batch.advance(now);
    settle();
  }

  private void settle() {
    if (crashed) {
      return;
    }
    audit.kvHeld(memory.heldBytes());
    List<AttemptSink> sinks = new ArrayList<>(unflushed);
    unflushed.clear();
    sinks.forEach(AttemptSink::flush);
  }

  @Override
  public void began(HeldAttempt attempt, long nowMicros) {
    if (attempt.source.isPresent()) {
      audit.began(attempt.key, 0);
      beginImport(attempt, nowMicros);
      return;
    }
    int matched = prefixCache.match(attempt.prompt.prefixHashes()) * PrefixHasher.BLOCK_TOKENS;
    attempt.cachedTokens = Math.max(0, Math.min(matched, attempt.prompt.tokens() - 1));
    attempt.unreadTokens = attempt.prompt.tokens() - attempt.cachedTokens;
    audit.began(attempt.key, attempt.cachedTokens);
  }

  private void beginImport(HeldAttempt attempt, long nowMicros) {
    long bytes = attempt.prompt.tokens() * settings.kvBytesPerToken();
    attempt.transfer = Optional.of(ingress.begin(nowMicros, bytes, () -> linkDone(attempt)));
    attempt.sink.fetchKv(attempt, attempt.source.orElseThrow());
  }

  private void linkDone(HeldAttempt attempt) {
    attempt.linkDone = true;
    enterIfHere(attempt);
  }

  /** The other engine has sent the KV cache, {@code freshTokens} of which it computed for this. */
  void kvArrived(HeldAttempt attempt, int freshTokens, int cachedTokens) {
    if (crashed || attempt.isEnded()) {
      audit.wasted(WasteReason.CLIENT_GONE, freshTokens);
      return;
    }
    attempt.freshTokens = freshTokens;
    attempt.cachedTokens = cachedTokens;
    attempt.exportDone = true;
    advance();
    enterIfHere(attempt);
    settle();
  }

  private void enterIfHere(HeldAttempt attempt) {
    if (attempt.linkDone && attempt.exportDone) {
      batch.imported(attempt, time.micros());
    }
  }

  /** The KV cache could not be fetched; the attempt ends without having run. */
  void kvFailed(HeldAttempt attempt, EngineRefusal refusal) {
    if (release(attempt, false)) {
      audit.refused(refusal.code());
      attempt.sink.refused(refusal);
      advance();
    }
  }

  @Override
  public void chunkRead(HeldAttempt attempt, int tokens) {
    audit.promptRead(tokens);
    detonate(attempt);
  }

  private void detonate(HeldAttempt attempt) {
    if (attempt.prompt.poisonous() && !crashed) {
      batch.halt();
      audit.crashedByPrompt(attempt.prompt.seed());
      poisoned.run();
    }
  }

  @Override
  public void promptRead(HeldAttempt attempt, long nowMicros) {
    prefixCache.store(attempt.prompt.prefixHashes(), nowMicros / MICROS_PER_MILLI);
    if (attempt.generating) {
      return;
    }
    long bytes = batch.kvBytes(attempt);
    release(attempt, true);
    handles++;
    String handle = settings.name() + "-" + incarnation + "-" + handles;
    long lifetime = settings.timings().kvLifetimeMillis() * MICROS_PER_MILLI;
    exports.add(new KvExports.Export(handle, attempt, bytes, nowMicros + lifetime));
    attempt.sink.promptRead(attempt, handle, nowMicros - attempt.arrivedMicros);
    audit.completed();
    unflushed.add(attempt.sink);
  }

  @Override
  public void generated(HeldAttempt attempt) {
    detonate(attempt);
    if (crashed) {
      return;
    }
    unflushed.add(attempt.sink);
    if (attempt.nextIndex < attempt.endIndex) {
      attempt.used = true;
      attempt.sink.token(attempt.nextIndex, TokenText.of(attempt.prompt.seed(), attempt.nextIndex));
      attempt.nextIndex++;
      audit.generated();
    }
    if (attempt.nextIndex >= attempt.endIndex) {
      attempt.used = true;
      release(attempt, false);
      audit.completed();
      attempt.sink.finished(attempt, attempt.endIndex);
    }
  }

  /** Frees all that an attempt holds; false if it is not held. */
  private boolean release(HeldAttempt attempt, boolean keepMemory) {
    if (!isHeld(attempt)) {
      return false;
    }
    held.remove(attempt.key);
    attempt.whenReleased.run();
    attempt.transfer.ifPresent(transfer -> ingress.cancel(time.micros(), transfer));
    batch.remove(attempt, keepMemory);
    audit.released();
    audit.kvHeld(memory.heldBytes());
    return true;
  }

  /** The client of an attempt has gone; what the attempt holds is free at once. */
  void clientGone(HeldAttempt attempt) {
    if (isHeld(attempt)) {
      audit.cancelled();
      audit.wasted(WasteReason.CLIENT_GONE, attempt.unusedTokens());
      release(attempt, false);
      advance();
    }
  }

  private boolean isHeld(HeldAttempt attempt) {
    return !crashed && held.get(attempt.key) == attempt;
  }

  /** Cancels one attempt, held or yet to come; whether something was freed. */
  boolean cancel(AttemptKey key) {
    cancels.cancel(key);
    return cancelAll(attempt -> attempt.key.equals(key)) > 0;
  }

  /** Cancels all attempts of the runs of a daemon, held or yet to come, and counts the held. */
  int cancelRuns(String daemon, long throughIncarnation) {
    cancels.cancelRuns(daemon, throughIncarnation);
    return cancelAll(attempt -> attempt.holder.isRunOf(daemon, throughIncarnation));
  }

  private int cancelAll(Predicate<HeldAttempt> unwanted) {
    advance();
    if (crashed) {
      return 0;
    }
    int freed = exports.drop(unwanted, WasteReason.CANCELLED);
    List<HeldAttempt> attempts = held.values().stream().filter(unwanted).toList();
    for (HeldAttempt attempt : attempts) {
      boolean waiting = attempt.phase == AttemptPhase.WAITING;
      release(attempt, false);
      audit.wasted(WasteReason.CANCELLED, attempt.unusedTokens());
      attempt.sink.refused(waiting ? EngineRefusal.CANCELLED : EngineRefusal.STOPPED);
    }
    freed += attempts.size();
    for (int i = 0; i < freed; i++) {
      audit.cancelled();
    }
    advance();
    return freed;
  }

  /** The attempts and KV caches that are held. */
  List<EngineBodies.HeldBody> list(Predicate<Holder> wanted) {
    advance();
    List<EngineBodies.HeldBody> listed = new ArrayList<>();
    held.values().stream()
        .filter(attempt -> wanted.test(attempt.holder))
        .forEach(attempt -> listed.add(EngineBodies.HeldBody.of(attempt, attempt.phase)));
    exports.attempts().stream()
        .filter(attempt -> wanted.test(attempt.holder))
        .forEach(attempt -> listed.add(EngineBodies.HeldBody.of(attempt, AttemptPhase.KV_HELD)));
    return listed;
  }

  /** A running export; it is ended by its transfer or by {@link #stopExport}. */
  record Sending(KvExports.Export export, Link.Transfer transfer) {}

  /**
   * Begins to send a KV cache, if it still lives.
   *
   * @param whenSent takes the attempt whose cache was sent, or nothing if it was dropped meanwhile
   */
  Optional<Sending> startExport(String handle, Consumer<Optional<HeldAttempt>> whenSent) {
    advance();
    long now = time.micros();
    if (crashed) {
      return Optional.empty();
    }
    return exports.find(handle, now).map(export -> send(export, now, whenSent));
  }

  private Sending send(
      KvExports.Export export, long now, Consumer<Optional<HeldAttempt>> whenSent) {
    export.transfers++;
    long bytes = export.attempt.prompt.tokens() * settings.kvBytesPerToken();
    return new Sending(export, egress.begin(now, bytes, () -> sent(export, whenSent)));
  }

  private void sent(KvExports.Export export, Consumer<Optional<HeldAttempt>> whenSent) {
    export.transfers--;
    boolean whole = exports.isHolding(export);
    exports.fetched(export);
    audit.kvHeld(memory.heldBytes());
    whenSent.accept(whole ? Optional.of(export.attempt) : Optional.empty());
  }

  /** The fetching engine has gone before the end; the cache lives on until its lifetime is over. */
  void stopExport(Sending sending) {
    if (!crashed) {
      egress.cancel(time.micros(), sending.transfer());
      sending.export().transfers--;
      advance();
    }
  }

  /** Loses everything. */
  void crash() {
    if (crashed) {
      return;
    }
    batch.halt();
    exports.drop(attempt -> true, WasteReason.CRASHED);
    for (HeldAttempt attempt : List.copyOf(held.values())) {
      release(attempt, false);
      audit.wasted(WasteReason.CRASHED, attempt.unusedTokens());
    }
    crashed = true;
    audit.kvHeld(0);
  }

  /** Removes the model's blocks from the prefix cache. */
  void clearCache() {
    prefixCache.clear(time.millis());
  }

  /** Whether nothing happens by itself until the next call. */
  boolean isIdle() {
    return held.isEmpty() && memory.heldBytes() == 0;
  }

  boolean isCrashed() {
    return crashed;
  }

  EngineIdentity identity() {
    return identity;
  }

  long incarnation() {
    return incarnation;
  }

  CacheEvents.Page cacheEventsAfter(long sequence) {
    return cacheEvents.after(sequence, time.millis());
  }

  int running() {
    return batch.running();
  }

  int waiting() {
    return batch.waiting();
  }

  long queuedPrefillTokens() {
    return batch.queuedPrefillTokens();
  }

  long heldKvBytes() {
    return memory.heldBytes();
  }
}
