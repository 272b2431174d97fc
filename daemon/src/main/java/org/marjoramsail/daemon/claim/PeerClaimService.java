package org.marjoramsail.daemon.claim;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import org.marjoramsail.core.claim.Claim;
import org.marjoramsail.core.claim.ClaimId;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimMessage;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimRequests;
import org.marjoramsail.core.claim.ClaimRequests.Step;
import org.marjoramsail.core.claim.ClaimResult;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.claim.ClaimResultMessage;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.claim.SettleMessage;
import org.marjoramsail.core.claim.Settlement;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.message.PeerMessageHandler;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.timing.AdaptiveTimer;

/**
 * Claim service in which one daemon batches the claims of each segment of the key space.
 *
 * <p>Each daemon sends its claims to the owner of the key's segment, and batches the claims of the
 * segments that it owns. Owners are chosen by rendezvous hashing over the live daemons. Messages of
 * type {@code ClaimMessage}, {@code ClaimResultMessage} and {@code SettleMessage} from other
 * daemons are passed to {@link #handle}.
 */
public final class PeerClaimService implements ClaimService, PeerMessageHandler {

  private static final long TICK_MILLIS = 10;
  private static final long IDLE_TICK_MILLIS = 50;
  private static final long OWNER_UPDATE_MILLIS = 250;

  /** State of one segment on this daemon; requests and batching have separate locks. */
  private record Shard(int segment, ClaimRequests requests, SegmentBatching batching) {}

  /** A claim without a result yet, with the promise that receives the result. */
  private record PendingClaim(ClaimKey key, Claim claim, Promise<ClaimResult> promise) {}

  private final Vertx vertx;
  private final DaemonId self;
  private final ClaimSettings settings;
  private final PeerTransport transport;
  private final Supplier<? extends Collection<DaemonId>> liveDaemons;
  private final Clock clock;
  private final MeterRegistry meters;
  private final List<Shard> shards = new ArrayList<>();
  private final Map<ClaimId, PendingClaim> pendingClaims = new ConcurrentHashMap<>();
  private final Map<ClaimKey, Claim> granted = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile List<DaemonId> owners = List.of();
  private final AdaptiveTimer tickTimer;
  private long ownerTimer;

  /**
   * Creates a service that is not started.
   *
   * @param liveDaemons the incarnations of daemons that are alive, including this one
   */
  public PeerClaimService(
      Vertx vertx,
      DaemonId self,
      ClaimSettings settings,
      ObjectApi api,
      PeerTransport transport,
      Supplier<? extends Collection<DaemonId>> liveDaemons,
      Clock clock,
      MeterRegistry meters) {
    this.vertx = vertx;
    this.self = self;
    this.settings = settings;
    this.transport = transport;
    this.liveDaemons = liveDaemons;
    this.clock = clock;
    this.meters = meters;
    this.tickTimer =
        new AdaptiveTimer(
            vertx, TICK_MILLIS, IDLE_TICK_MILLIS, this::isBusy, () -> shards.forEach(this::tick));
    for (int segment = 0; segment < settings.segments(); segment++) {
      SegmentStore store = new SegmentStore(api, meters, segment);
      shards.add(
          new Shard(
              segment,
              new ClaimRequests(settings),
              new SegmentBatching(
                  settings, store, clock, delivery -> send(delivery.claim(), delivery.result()))));
    }
  }

  private boolean isBusy() {
    return !pendingClaims.isEmpty() || shards.stream().anyMatch(shard -> shard.batching().isBusy());
  }

  /** Starts the timers. */
  public void start() {
    updateOwners();
    ownerTimer = vertx.setPeriodic(OWNER_UPDATE_MILLIS, unused -> updateOwners());
    tickTimer.start();
  }

  /** Stops the timers; pending claims receive no result. */
  public void stop() {
    tickTimer.stop();
    vertx.cancelTimer(ownerTimer);
  }

  @Override
  public Future<ClaimResult> claim(ClaimRequest request) {
    ClaimId id = new ClaimId(self, sequence.incrementAndGet());
    String keyHash = request.key().hash();
    Claim claim = new Claim(id, keyHash, request.bodyHash(), request.withinMillis());
    Promise<ClaimResult> promise = Promise.promise();
    pendingClaims.put(id, new PendingClaim(request.key(), claim, promise));
    Shard shard = shard(keyHash);
    step(shard, requests -> requests.open(claim, clock.millis()));
    return promise.future();
  }

  @Override
  public Future<Void> settle(ClaimKey key, ClaimOutcome outcome) {
    Claim claim = granted.remove(key);
    if (claim != null) {
      Settlement settlement = new Settlement(claim.id(), claim.keyHash(), outcome);
      perform(shard(claim.keyHash()), new Step.Settle(settlement));
    }
    return Future.succeededFuture();
  }

  @Override
  public void handle(DaemonId from, PeerMessage message) {
    if (message instanceof ClaimMessage claimMessage && isSegment(claimMessage.segment())) {
      shards.get(claimMessage.segment()).batching().claim(claimMessage.claim());
    } else if (message instanceof SettleMessage settle && isSegment(settle.segment())) {
      shards.get(settle.segment()).batching().settle(settle.settlement());
    } else if (message instanceof ClaimResultMessage result) {
      receiveResult(result.claim(), result.result());
    }
  }

  private boolean isSegment(int segment) {
    return segment >= 0 && segment < settings.segments();
  }

  private Shard shard(String keyHash) {
    return shards.get(settings.segmentOf(keyHash));
  }

  private void tick(Shard shard) {
    step(shard, requests -> requests.tick(clock.millis()));
    shard.batching().tick(owner(shard.segment()).equals(self));
  }

  /**
   * Recomputes the owners of all segments, periodically instead of for each claim, because this
   * hashes every live daemon. An outdated owner is safe: it only causes write conflicts.
   */
  private void updateOwners() {
    Collection<DaemonId> candidates = liveDaemons.get();
    owners =
        shards.stream().map(shard -> SegmentOwner.of(shard.segment(), candidates, self)).toList();
  }

  private DaemonId owner(int segment) {
    return owners.get(segment);
  }

  private void step(Shard shard, Function<ClaimRequests, List<Step>> event) {
    List<Step> steps;
    synchronized (shard.requests()) {
      steps = event.apply(shard.requests());
    }
    steps.forEach(step -> perform(shard, step));
  }

  private void perform(Shard shard, Step step) {
    if (step instanceof Step.SendClaim sendClaim) {
      send(owner(shard.segment()), new ClaimMessage(shard.segment(), sendClaim.claim()));
    } else if (step instanceof Step.Settle settle) {
      send(owner(shard.segment()), new SettleMessage(shard.segment(), settle.settlement()));
    } else if (step instanceof Step.Finish finish) {
      finish(finish);
    }
  }

  private void finish(Step.Finish finish) {
    PendingClaim pending = pendingClaims.remove(finish.claim());
    if (pending == null) {
      return;
    }
    ClaimResult result = resolveFailedHolder(finish.result());
    meters
        .counter(
            "marjoramsail.claims.results", "result", result.kind().name().toLowerCase(Locale.ROOT))
        .increment();
    if (result.kind() == Kind.GRANTED) {
      granted.put(pending.key(), pending.claim());
    }
    pending.promise().complete(result);
  }

  /** Replaces {@code RUNNING_ELSEWHERE} if the daemon that ran the request is not alive. */
  private ClaimResult resolveFailedHolder(ClaimResult result) {
    boolean holderFailed =
        result.kind() == Kind.RUNNING_ELSEWHERE
            && result.holder().filter(liveDaemons.get()::contains).isEmpty();
    return holderFailed ? ClaimResult.of(Kind.UNKNOWN_BEFORE) : result;
  }

  private void receiveResult(ClaimId claim, ClaimResult result) {
    PendingClaim pending = pendingClaims.get(claim);
    if (pending != null) {
      step(shard(pending.claim().keyHash()), requests -> requests.result(claim, result));
    } else if (result.kind() == Kind.GRANTED) {
      shards.forEach(shard -> step(shard, requests -> requests.result(claim, result)));
    }
  }

  private void send(ClaimId claim, ClaimResult result) {
    send(claim.daemon(), new ClaimResultMessage(claim, result));
  }

  private void send(DaemonId to, PeerMessage message) {
    if (to.equals(self)) {
      handle(self, message);
    } else {
      transport.send(to, message);
    }
  }
}
