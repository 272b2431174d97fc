package org.marjoramsail.core.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.claim.ClaimAction.DeliverResult;
import org.marjoramsail.core.claim.ClaimAction.ReadPage;
import org.marjoramsail.core.claim.ClaimAction.WritePage;
import org.marjoramsail.core.claim.ClaimResult.Kind;

/**
 * Batches the claims of one segment and records each batch by one conditional update.
 *
 * <p>Each method receives the current time and returns the actions to perform; callers hold the
 * lock of the segment. Several daemons may have a batcher for the same segment at once: the
 * conditional update keeps this correct, and the only cost is update conflicts.
 */
public final class ClaimBatcher {

  private enum Phase {
    UNLOADED,
    LOADING,
    READY,
    WRITING,
    REREADING
  }

  /** A claim whose result is pending. */
  private static final class Pending {
    private final Claim claim;
    private final long deadlineMillis;
    private boolean possiblyRecorded;
    private boolean resultDelivered;

    Pending(Claim claim, long deadlineMillis) {
      this.claim = claim;
      this.deadlineMillis = deadlineMillis;
    }
  }

  /** A write that was started and has no result yet. */
  private record InFlightWrite(
      int slot, ClaimPage page, Map<ClaimId, Pending> claims, List<Settlement> settlements) {}

  private final ClaimSettings settings;
  private final SegmentTime segmentTime;
  private final Map<ClaimId, Pending> waitingClaims = new LinkedHashMap<>();
  private final Map<ClaimId, Settlement> waitingSettlements = new LinkedHashMap<>();
  private Phase phase = Phase.UNLOADED;
  private Optional<ClaimLog> log = Optional.empty();
  private Optional<InFlightWrite> inFlightWrite = Optional.empty();
  private PageLoader loader;
  private long pendingReread;
  private long nextRead = 1;
  private long earliestStoreCallMillis = Long.MIN_VALUE;
  private long settlementsDueMillis = Long.MAX_VALUE;
  private List<ClaimAction> actions = new ArrayList<>();

  /** Creates a batcher that has read no pages yet. */
  public ClaimBatcher(ClaimSettings settings, long nowMillis) {
    this.settings = settings;
    this.loader = new PageLoader(settings);
    this.segmentTime = new SegmentTime(nowMillis);
  }

  /**
   * Handles a claim. A repeated claim that is still pending changes nothing; one that is recorded
   * gets the recorded result.
   */
  public List<ClaimAction> claim(Claim claim, long nowMillis) {
    segmentTime.observe(nowMillis);
    if (!waitingClaims.containsKey(claim.id()) && !isInFlight(claim.id())) {
      accept(claim, nowMillis);
    }
    return advance(nowMillis);
  }

  private void accept(Claim claim, long nowMillis) {
    Optional<ClaimResult> recorded =
        phase == Phase.READY ? result(log.orElseThrow(), claim) : Optional.empty();
    if (recorded.isPresent()) {
      actions.add(new DeliverResult(claim.id(), recorded.get()));
    } else if (waitingClaims.size() < settings.maximumWaiting()) {
      waitingClaims.put(claim.id(), new Pending(claim, nowMillis + claim.withinMillis()));
    } else {
      deliver(claim.id(), Kind.STORE_UNAVAILABLE);
    }
  }

  /** Queues the outcome of a claimed request for a later write. */
  public List<ClaimAction> settle(Settlement settlement, long nowMillis) {
    segmentTime.observe(nowMillis);
    if (waitingSettlements.size() < settings.maximumWaiting()) {
      waitingSettlements.putIfAbsent(settlement.id(), settlement);
      settlementsDueMillis =
          Math.min(settlementsDueMillis, nowMillis + settings.settleWithinMillis());
    }
    return advance(nowMillis);
  }

  /** Handles the result of a read; {@code page} is empty if the page does not exist. */
  public List<ClaimAction> pageRead(ReadPage read, Optional<VersionedPage> page, long nowMillis) {
    segmentTime.observe(nowMillis);
    if (phase == Phase.LOADING && loader.isExpecting(read.read())) {
      loader.accept(read.read(), read.slot(), page);
      continueLoading(nowMillis);
    } else if (phase == Phase.REREADING && read.read() == pendingReread) {
      applyReread(read.slot(), page);
    }
    return advance(nowMillis);
  }

  /** Handles a failed read. */
  public List<ClaimAction> readFailed(ReadPage read, long nowMillis) {
    segmentTime.observe(nowMillis);
    if (phase == Phase.LOADING && loader.isExpecting(read.read())) {
      unload();
      earliestStoreCallMillis = nowMillis + settings.retryMillis();
    } else if (phase == Phase.REREADING && read.read() == pendingReread) {
      pendingReread = 0;
      earliestStoreCallMillis = nowMillis + settings.retryMillis();
    }
    return advance(nowMillis);
  }

  /** Handles a successful write that created the given version. */
  public List<ClaimAction> written(String version, long nowMillis) {
    segmentTime.observe(nowMillis);
    InFlightWrite completed = inFlightWrite.orElseThrow();
    inFlightWrite = Optional.empty();
    phase = Phase.READY;
    log.orElseThrow().written(completed.slot(), version, completed.page(), segmentTime.millis());
    completed.claims().keySet().forEach(id -> deliver(id, Kind.GRANTED));
    return advance(nowMillis);
  }

  /**
   * Handles a write that the object API refused without a change.
   *
   * @param retryAfterMillis how long to wait before the next call, in milliseconds
   */
  public List<ClaimAction> writeRefused(long retryAfterMillis, long nowMillis) {
    segmentTime.observe(nowMillis);
    requeue(inFlightWrite.orElseThrow());
    phase = Phase.READY;
    earliestStoreCallMillis = nowMillis + Math.max(retryAfterMillis, settings.retryMillis());
    return advance(nowMillis);
  }

  /** Handles a write that failed because another daemon changed the page first. */
  public List<ClaimAction> writeConflicted(long nowMillis) {
    segmentTime.observe(nowMillis);
    phase = Phase.REREADING;
    pendingReread = 0;
    return advance(nowMillis);
  }

  /**
   * Handles a write whose effect is unknown.
   *
   * <p>Guards against a request that runs twice because the response to a write was lost. The page
   * is read again: if it contains the claims, they are granted. Otherwise the first write may still
   * take effect later, so the claims are written again over the same version, and only one of the
   * two writes can succeed.
   */
  public List<ClaimAction> writeUncertain(long nowMillis) {
    inFlightWrite
        .orElseThrow()
        .claims()
        .values()
        .forEach(pending -> pending.possiblyRecorded = true);
    return writeConflicted(nowMillis);
  }

  /**
   * Ends expired claims and starts the calls that are due; called every few milliseconds while
   * {@link #isBusy()}.
   */
  public List<ClaimAction> tick(long nowMillis) {
    segmentTime.observe(nowMillis);
    deliverExpired(nowMillis);
    return advance(nowMillis);
  }

  /** Returns whether a claim or settlement is queued or a write is in flight. */
  public boolean isBusy() {
    return !waitingClaims.isEmpty() || !waitingSettlements.isEmpty() || inFlightWrite.isPresent();
  }

  private boolean isInFlight(ClaimId id) {
    return inFlightWrite.filter(write -> write.claims().containsKey(id)).isPresent();
  }

  private List<ClaimAction> advance(long nowMillis) {
    if (nowMillis >= earliestStoreCallMillis) {
      if (phase == Phase.UNLOADED && isBusy()) {
        phase = Phase.LOADING;
        startReads();
      } else if (phase == Phase.REREADING && pendingReread == 0) {
        pendingReread = nextRead++;
        actions.add(new ReadPage(pendingReread, inFlightWrite.orElseThrow().slot()));
      }
    }
    if (phase == Phase.READY) {
      writeIfDue(nowMillis);
    }
    List<ClaimAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }

  private void deliverExpired(long nowMillis) {
    for (Iterator<Pending> iterator = waitingClaims.values().iterator(); iterator.hasNext(); ) {
      Pending pending = iterator.next();
      if (nowMillis >= pending.deadlineMillis) {
        deliverUnrecorded(pending);
        iterator.remove();
      }
    }
    inFlightWrite.stream()
        .flatMap(write -> write.claims().values().stream())
        .filter(pending -> !pending.resultDelivered && nowMillis >= pending.deadlineMillis)
        .forEach(
            pending -> {
              pending.resultDelivered = true;
              deliver(pending.claim.id(), Kind.UNCERTAIN);
            });
  }

  private void startReads() {
    int before = actions.size();
    loader.startReads(nextRead, actions);
    nextRead += actions.size() - before;
  }

  private void continueLoading(long nowMillis) {
    if (!loader.isDone()) {
      startReads();
      return;
    }
    log = loader.log();
    if (log.isEmpty()) {
      unload();
      earliestStoreCallMillis = nowMillis + settings.retryMillis();
      return;
    }
    segmentTime.advanceTo(log.get().segmentMillis());
    phase = Phase.READY;
  }

  private void unload() {
    log = Optional.empty();
    loader = new PageLoader(settings);
    phase = Phase.UNLOADED;
  }

  private void applyReread(int slot, Optional<VersionedPage> page) {
    ClaimLog currentLog = log.orElseThrow();
    InFlightWrite failed = inFlightWrite.orElseThrow();
    boolean consistent = currentLog.reread(slot, page);
    requeue(failed);
    if (!consistent) {
      unload();
      return;
    }
    segmentTime.advanceTo(currentLog.segmentMillis());
    phase = Phase.READY;
  }

  /**
   * Puts the claims of a failed write at the front of the queue. Claims that have expired meanwhile
   * are dropped; if one of them was recorded nevertheless, its claimant gets the grant, so that it
   * frees the key.
   */
  private void requeue(InFlightWrite failed) {
    inFlightWrite = Optional.empty();
    Map<ClaimId, Pending> remaining = new LinkedHashMap<>(waitingClaims);
    waitingClaims.clear();
    for (Pending pending : failed.claims().values()) {
      if (!pending.resultDelivered) {
        waitingClaims.put(pending.claim.id(), pending);
      } else if (log.flatMap(currentLog -> recorded(currentLog, pending.claim)).isPresent()) {
        deliver(pending.claim.id(), Kind.GRANTED);
      }
    }
    waitingClaims.putAll(remaining);
    failed.settlements().forEach(settlement -> waitingSettlements.put(settlement.id(), settlement));
  }

  private Optional<ClaimEntry> recorded(ClaimLog currentLog, Claim claim) {
    return currentLog
        .find(claim.keyHash(), segmentTime.millis())
        .filter(entry -> entry.id().equals(claim.id()) && entry.state() == ClaimState.CLAIMED);
  }

  private void writeIfDue(long nowMillis) {
    boolean settlementsDue = !waitingSettlements.isEmpty() && nowMillis >= settlementsDueMillis;
    if (nowMillis < earliestStoreCallMillis || (waitingClaims.isEmpty() && !settlementsDue)) {
      return;
    }
    ClaimLog currentLog = log.orElseThrow();
    deliverRecorded(currentLog);
    if (currentLog.isFull(segmentTime.millis())) {
      waitingClaims.values().forEach(this::deliverUnrecorded);
      waitingClaims.clear();
      waitingSettlements.clear();
      return;
    }
    write(currentLog, nowMillis);
  }

  private void deliverRecorded(ClaimLog currentLog) {
    for (Iterator<Pending> iterator = waitingClaims.values().iterator(); iterator.hasNext(); ) {
      Claim claim = iterator.next().claim;
      Optional<ClaimResult> result = result(currentLog, claim);
      if (result.isPresent()) {
        actions.add(new DeliverResult(claim.id(), result.get()));
        iterator.remove();
      }
    }
  }

  private Optional<ClaimResult> result(ClaimLog currentLog, Claim claim) {
    Optional<ClaimEntry> found = currentLog.find(claim.keyHash(), segmentTime.millis());
    if (found.isEmpty()) {
      return Optional.empty();
    }
    ClaimEntry entry = found.get();
    if (entry.id().equals(claim.id())) {
      // A claim that is already settled is a delayed duplicate; its claimant no longer waits for a
      // result.
      Kind kind = entry.state() == ClaimState.CLAIMED ? Kind.GRANTED : Kind.UNCERTAIN;
      return Optional.of(ClaimResult.of(kind));
    }
    if (entry.state() == ClaimState.NOT_RUN) {
      return Optional.empty();
    }
    if (!entry.bodyHash().equals(claim.bodyHash())) {
      return Optional.of(ClaimResult.of(Kind.CONFLICTING_BODY));
    }
    return Optional.of(ClaimResult.ofEntry(entry));
  }

  private void write(ClaimLog currentLog, long nowMillis) {
    Map<String, ClaimEntry> entries = currentLog.openEntries();
    Map<ClaimId, Pending> claims = collectClaims(entries);
    List<Settlement> settlements = collectSettlements(currentLog, entries);
    if (claims.isEmpty() && settlements.isEmpty()) {
      return;
    }
    ClaimPage page =
        new ClaimPage(
            currentLog.openOrdinal(),
            entries.size() >= settings.pageEntries(),
            segmentTime.millis(),
            List.copyOf(entries.values()));
    inFlightWrite =
        Optional.of(new InFlightWrite(currentLog.openSlot(), page, claims, settlements));
    phase = Phase.WRITING;
    earliestStoreCallMillis = nowMillis + settings.writeIntervalMillis();
    settlementsDueMillis = nowMillis + settings.settleWithinMillis();
    actions.add(new WritePage(currentLog.openSlot(), currentLog.openVersion(), page));
  }

  private Map<ClaimId, Pending> collectClaims(Map<String, ClaimEntry> entries) {
    Map<ClaimId, Pending> collected = new LinkedHashMap<>();
    Set<String> keys = new HashSet<>();
    for (Iterator<Pending> iterator = waitingClaims.values().iterator(); iterator.hasNext(); ) {
      Pending pending = iterator.next();
      Claim claim = pending.claim;
      if (collected.size() >= settings.maximumBatch()) {
        break;
      }
      // A second claim of a key waits until the first is recorded and then gets its result.
      if (keys.add(claim.keyHash())) {
        entries.put(claim.keyHash(), entry(claim));
        collected.put(claim.id(), pending);
        iterator.remove();
      }
    }
    return collected;
  }

  private ClaimEntry entry(Claim claim) {
    return new ClaimEntry(
        claim.keyHash(),
        claim.bodyHash(),
        claim.id(),
        ClaimState.CLAIMED,
        0,
        "",
        segmentTime.millis() + settings.retentionMillis());
  }

  private List<Settlement> collectSettlements(
      ClaimLog currentLog, Map<String, ClaimEntry> entries) {
    List<Settlement> collected = new ArrayList<>();
    for (Iterator<Settlement> iterator = waitingSettlements.values().iterator();
        iterator.hasNext(); ) {
      Settlement settlement = iterator.next();
      if (collected.size() >= settings.maximumBatch()) {
        break;
      }
      Optional<ClaimEntry> current =
          Optional.ofNullable(entries.get(settlement.keyHash()))
              .or(() -> currentLog.find(settlement.keyHash(), segmentTime.millis()))
              .filter(entry -> entry.id().equals(settlement.id()))
              .filter(entry -> entry.state() == ClaimState.CLAIMED);
      if (current.isPresent()) {
        entries.put(settlement.keyHash(), current.get().settled(settlement.outcome()));
        collected.add(settlement);
        iterator.remove();
      } else if (!waitingClaims.containsKey(settlement.id())) {
        iterator.remove();
      }
    }
    return collected;
  }

  private void deliverUnrecorded(Pending pending) {
    deliver(pending.claim.id(), pending.possiblyRecorded ? Kind.UNCERTAIN : Kind.STORE_UNAVAILABLE);
  }

  private void deliver(ClaimId claim, Kind kind) {
    actions.add(new DeliverResult(claim, ClaimResult.of(kind)));
  }
}
