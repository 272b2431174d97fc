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
 * Records the claims of one segment, many to one conditional update.
 *
 * <p>Each call takes the time and gives actions; it is called under the segment's lock. Several
 * daemons may have a batcher for the same segment at once: the conditional update keeps them safe,
 * and they only cost each other conflicts.
 */
public final class ClaimBatcher {

  private enum Phase {
    UNLOADED,
    LOADING,
    READY,
    WRITING,
    REREADING
  }

  /** A claim that waits for its result. */
  private static final class Pending {
    private final Claim claim;
    private final long deadlineMillis;
    private boolean perhapsRecorded;
    private boolean answered;

    Pending(Claim claim, long deadlineMillis) {
      this.claim = claim;
      this.deadlineMillis = deadlineMillis;
    }
  }

  /** A write under way. */
  private record Flight(
      int slot, ClaimPage page, Map<ClaimId, Pending> claims, List<Settlement> settlements) {}

  private final ClaimSettings settings;
  private final SegmentTime time;
  private final Map<ClaimId, Pending> waiting = new LinkedHashMap<>();
  private final Map<ClaimId, Settlement> unsettled = new LinkedHashMap<>();
  private Phase phase = Phase.UNLOADED;
  private Optional<ClaimLog> log = Optional.empty();
  private Optional<Flight> flight = Optional.empty();
  private PageLoader loader;
  private long reread;
  private long nextRead = 1;
  private long notBeforeMillis = Long.MIN_VALUE;
  private long settleAtMillis = Long.MAX_VALUE;
  private List<ClaimAction> actions = new ArrayList<>();

  /** Creates an instance with the bounds and paces, and the time at which it starts. */
  public ClaimBatcher(ClaimSettings settings, long nowMillis) {
    this.settings = settings;
    this.loader = new PageLoader(settings);
    this.time = new SegmentTime(nowMillis);
  }

  /** Handles a claim; the same again changes nothing, or is answered from what is recorded. */
  public List<ClaimAction> claim(Claim claim, long nowMillis) {
    time.observe(nowMillis);
    if (!waiting.containsKey(claim.id()) && !isInFlight(claim.id())) {
      take(claim, nowMillis);
    }
    return progress(nowMillis);
  }

  private void take(Claim claim, long nowMillis) {
    Optional<ClaimResult> known =
        phase == Phase.READY ? result(log.orElseThrow(), claim) : Optional.empty();
    if (known.isPresent()) {
      actions.add(new DeliverResult(claim.id(), known.get()));
    } else if (waiting.size() < settings.maximumWaiting()) {
      waiting.put(claim.id(), new Pending(claim, nowMillis + claim.withinMillis()));
    } else {
      answer(claim.id(), Kind.STORE_UNAVAILABLE);
    }
  }

  /** Records how a claimed request ended; recorded with a later write. */
  public List<ClaimAction> settle(Settlement settlement, long nowMillis) {
    time.observe(nowMillis);
    if (unsettled.size() < settings.maximumWaiting()) {
      unsettled.putIfAbsent(settlement.id(), settlement);
      settleAtMillis = Math.min(settleAtMillis, nowMillis + settings.settleWithinMillis());
    }
    return progress(nowMillis);
  }

  /** Handles a page that was asked for, or that there is none. */
  public List<ClaimAction> pageRead(ReadPage asked, Optional<VersionedPage> page, long nowMillis) {
    time.observe(nowMillis);
    if (phase == Phase.LOADING && loader.isExpecting(asked.read())) {
      loader.take(asked.read(), asked.slot(), page);
      continueLoading(nowMillis);
    } else if (phase == Phase.REREADING && asked.read() == reread) {
      takeReread(asked.slot(), page);
    }
    return progress(nowMillis);
  }

  /** Records that a page could not be read. */
  public List<ClaimAction> readFailed(ReadPage asked, long nowMillis) {
    time.observe(nowMillis);
    if (phase == Phase.LOADING && loader.isExpecting(asked.read())) {
      unload();
      notBeforeMillis = nowMillis + settings.retryMillis();
    } else if (phase == Phase.REREADING && asked.read() == reread) {
      reread = 0;
      notBeforeMillis = nowMillis + settings.retryMillis();
    }
    return progress(nowMillis);
  }

  /** Records that the write under way is recorded at a version. */
  public List<ClaimAction> written(String version, long nowMillis) {
    time.observe(nowMillis);
    Flight landed = flight.orElseThrow();
    flight = Optional.empty();
    phase = Phase.READY;
    log.orElseThrow().written(landed.slot(), version, landed.page(), time.millis());
    landed.claims().keySet().forEach(id -> answer(id, Kind.GRANTED));
    return progress(nowMillis);
  }

  /** Records that the write under way changed nothing, and when the platform may be asked again. */
  public List<ClaimAction> writeRefused(long retryAfterMillis, long nowMillis) {
    time.observe(nowMillis);
    requeue(flight.orElseThrow());
    phase = Phase.READY;
    notBeforeMillis = nowMillis + Math.max(retryAfterMillis, settings.retryMillis());
    return progress(nowMillis);
  }

  /** Records that another write came first. */
  public List<ClaimAction> writeConflicted(long nowMillis) {
    time.observe(nowMillis);
    phase = Phase.REREADING;
    reread = 0;
    return progress(nowMillis);
  }

  /**
   * Records that it is not known whether the write under way took effect.
   *
   * <p>Guards against a ballot that runs twice because its claim was taken for recorded, or for not
   * recorded, when its answer was lost. The page is read back: if it has the claims, they are
   * granted. If it has not, the write may still land later; then they are written again over the
   * same version, and of the two writes only one can succeed.
   */
  public List<ClaimAction> writeUncertain(long nowMillis) {
    flight.orElseThrow().claims().values().forEach(pending -> pending.perhapsRecorded = true);
    return writeConflicted(nowMillis);
  }

  /** Does what time has made due; called every few milliseconds while {@link #isBusy()}. */
  public List<ClaimAction> tick(long nowMillis) {
    time.observe(nowMillis);
    answerLate(nowMillis);
    return progress(nowMillis);
  }

  /** Whether anything waits or is under way. */
  public boolean isBusy() {
    return !waiting.isEmpty() || !unsettled.isEmpty() || flight.isPresent();
  }

  private boolean isInFlight(ClaimId id) {
    return flight.filter(under -> under.claims().containsKey(id)).isPresent();
  }

  private List<ClaimAction> progress(long nowMillis) {
    if (nowMillis >= notBeforeMillis) {
      if (phase == Phase.UNLOADED && isBusy()) {
        phase = Phase.LOADING;
        readMore();
      } else if (phase == Phase.REREADING && reread == 0) {
        reread = nextRead++;
        actions.add(new ReadPage(reread, flight.orElseThrow().slot()));
      }
    }
    if (phase == Phase.READY) {
      work(nowMillis);
    }
    List<ClaimAction> due = actions;
    actions = new ArrayList<>();
    return due;
  }

  private void answerLate(long nowMillis) {
    for (Iterator<Pending> each = waiting.values().iterator(); each.hasNext(); ) {
      Pending pending = each.next();
      if (nowMillis >= pending.deadlineMillis) {
        answerUnrecorded(pending);
        each.remove();
      }
    }
    flight.stream()
        .flatMap(under -> under.claims().values().stream())
        .filter(pending -> !pending.answered && nowMillis >= pending.deadlineMillis)
        .forEach(
            pending -> {
              pending.answered = true;
              answer(pending.claim.id(), Kind.UNCERTAIN);
            });
  }

  private void readMore() {
    int before = actions.size();
    loader.read(nextRead, actions);
    nextRead += actions.size() - before;
  }

  private void continueLoading(long nowMillis) {
    if (!loader.isDone()) {
      readMore();
      return;
    }
    log = loader.log();
    if (log.isEmpty()) {
      unload();
      notBeforeMillis = nowMillis + settings.retryMillis();
      return;
    }
    time.takeOver(log.get().segmentMillis());
    phase = Phase.READY;
  }

  private void unload() {
    log = Optional.empty();
    loader = new PageLoader(settings);
    phase = Phase.UNLOADED;
  }

  private void takeReread(int slot, Optional<VersionedPage> page) {
    ClaimLog known = log.orElseThrow();
    Flight failed = flight.orElseThrow();
    boolean whole = known.reread(slot, page);
    requeue(failed);
    if (!whole) {
      unload();
      return;
    }
    time.takeOver(known.segmentMillis());
    phase = Phase.READY;
  }

  /**
   * Puts the claims of a failed write back before the others; those answered already are dropped.
   * Where such a claim was recorded, its claimant is told, so that it frees the key.
   */
  private void requeue(Flight failed) {
    flight = Optional.empty();
    Map<ClaimId, Pending> later = new LinkedHashMap<>(waiting);
    waiting.clear();
    for (Pending pending : failed.claims().values()) {
      if (!pending.answered) {
        waiting.put(pending.claim.id(), pending);
      } else if (log.flatMap(known -> recorded(known, pending.claim)).isPresent()) {
        answer(pending.claim.id(), Kind.GRANTED);
      }
    }
    waiting.putAll(later);
    failed.settlements().forEach(settlement -> unsettled.put(settlement.id(), settlement));
  }

  private Optional<ClaimEntry> recorded(ClaimLog known, Claim claim) {
    return known
        .find(claim.keyHash(), time.millis())
        .filter(entry -> entry.id().equals(claim.id()) && entry.state() == ClaimState.CLAIMED);
  }

  private void work(long nowMillis) {
    boolean settlementsDue = !unsettled.isEmpty() && nowMillis >= settleAtMillis;
    if (nowMillis < notBeforeMillis || (waiting.isEmpty() && !settlementsDue)) {
      return;
    }
    ClaimLog known = log.orElseThrow();
    answerKnown(known);
    if (known.isFull(time.millis())) {
      waiting.values().forEach(this::answerUnrecorded);
      waiting.clear();
      unsettled.clear();
      return;
    }
    write(known, nowMillis);
  }

  private void answerKnown(ClaimLog known) {
    for (Iterator<Pending> each = waiting.values().iterator(); each.hasNext(); ) {
      Claim claim = each.next().claim;
      Optional<ClaimResult> result = result(known, claim);
      if (result.isPresent()) {
        actions.add(new DeliverResult(claim.id(), result.get()));
        each.remove();
      }
    }
  }

  private Optional<ClaimResult> result(ClaimLog known, Claim claim) {
    Optional<ClaimEntry> found = known.find(claim.keyHash(), time.millis());
    if (found.isEmpty()) {
      return Optional.empty();
    }
    ClaimEntry entry = found.get();
    if (entry.id().equals(claim.id())) {
      // A settled claim that comes again is a late copy: its claimant waits for it no more.
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

  private void write(ClaimLog known, long nowMillis) {
    Map<String, ClaimEntry> entries = known.openEntries();
    Map<ClaimId, Pending> claims = takeClaims(entries);
    List<Settlement> settlements = takeSettlements(known, entries);
    if (claims.isEmpty() && settlements.isEmpty()) {
      return;
    }
    ClaimPage page =
        new ClaimPage(
            known.openOrdinal(),
            entries.size() >= settings.pageEntries(),
            time.millis(),
            List.copyOf(entries.values()));
    flight = Optional.of(new Flight(known.openSlot(), page, claims, settlements));
    phase = Phase.WRITING;
    notBeforeMillis = nowMillis + settings.writeIntervalMillis();
    settleAtMillis = nowMillis + settings.settleWithinMillis();
    actions.add(new WritePage(known.openSlot(), known.openVersion(), page));
  }

  private Map<ClaimId, Pending> takeClaims(Map<String, ClaimEntry> entries) {
    Map<ClaimId, Pending> taken = new LinkedHashMap<>();
    Set<String> keys = new HashSet<>();
    for (Iterator<Pending> each = waiting.values().iterator(); each.hasNext(); ) {
      Pending pending = each.next();
      Claim claim = pending.claim;
      if (taken.size() >= settings.maximumBatch()) {
        break;
      }
      // A second claim of a key waits until the first is recorded, and is then answered by it.
      if (keys.add(claim.keyHash())) {
        entries.put(claim.keyHash(), entry(claim));
        taken.put(claim.id(), pending);
        each.remove();
      }
    }
    return taken;
  }

  private ClaimEntry entry(Claim claim) {
    return new ClaimEntry(
        claim.keyHash(),
        claim.bodyHash(),
        claim.id(),
        ClaimState.CLAIMED,
        0,
        "",
        time.millis() + settings.retentionMillis());
  }

  private List<Settlement> takeSettlements(ClaimLog known, Map<String, ClaimEntry> entries) {
    List<Settlement> taken = new ArrayList<>();
    for (Iterator<Settlement> each = unsettled.values().iterator(); each.hasNext(); ) {
      Settlement settlement = each.next();
      if (taken.size() >= settings.maximumBatch()) {
        break;
      }
      Optional<ClaimEntry> current =
          Optional.ofNullable(entries.get(settlement.keyHash()))
              .or(() -> known.find(settlement.keyHash(), time.millis()))
              .filter(entry -> entry.id().equals(settlement.id()))
              .filter(entry -> entry.state() == ClaimState.CLAIMED);
      if (current.isPresent()) {
        entries.put(settlement.keyHash(), current.get().settled(settlement.outcome()));
        taken.add(settlement);
        each.remove();
      } else if (!waiting.containsKey(settlement.id())) {
        each.remove();
      }
    }
    return taken;
  }

  private void answerUnrecorded(Pending pending) {
    answer(pending.claim.id(), pending.perhapsRecorded ? Kind.UNCERTAIN : Kind.STORE_UNAVAILABLE);
  }

  private void answer(ClaimId claim, Kind kind) {
    actions.add(new DeliverResult(claim, ClaimResult.of(kind)));
  }
}
