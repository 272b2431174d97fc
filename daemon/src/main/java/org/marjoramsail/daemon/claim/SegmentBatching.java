package org.marjoramsail.daemon.claim;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.marjoramsail.core.claim.Claim;
import org.marjoramsail.core.claim.ClaimAction;
import org.marjoramsail.core.claim.ClaimAction.DeliverResult;
import org.marjoramsail.core.claim.ClaimAction.ReadPage;
import org.marjoramsail.core.claim.ClaimAction.WritePage;
import org.marjoramsail.core.claim.ClaimBatcher;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.claim.Settlement;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApiException;

/** Calls the batcher of one segment under a lock and performs its actions outside of the lock. */
final class SegmentBatching {

  /** Sends the result of a claim to the daemon that sent the claim. */
  interface ResultSender {
    void send(DeliverResult delivery);
  }

  private final ClaimSettings settings;
  private final SegmentStore store;
  private final Clock clock;
  private final ResultSender resultSender;
  private final Object lock = new Object();
  private Optional<ClaimBatcher> batcher = Optional.empty();

  SegmentBatching(
      ClaimSettings settings, SegmentStore store, Clock clock, ResultSender resultSender) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.resultSender = resultSender;
  }

  void claim(Claim claim) {
    step(now -> getOrCreateBatcher(now).claim(claim, now));
  }

  void settle(Settlement settlement) {
    step(now -> getOrCreateBatcher(now).settle(settlement, now));
  }

  /**
   * Runs the actions that are due, and removes an idle batcher if another daemon owns the segment.
   */
  void tick(boolean owner) {
    step(
        now -> {
          if (!owner && batcher.filter(ClaimBatcher::isBusy).isEmpty()) {
            batcher = Optional.empty();
          }
          return batcher.map(current -> current.tick(now)).orElse(List.of());
        });
  }

  boolean isBusy() {
    synchronized (lock) {
      return batcher.filter(ClaimBatcher::isBusy).isPresent();
    }
  }

  private ClaimBatcher getOrCreateBatcher(long now) {
    if (batcher.isEmpty()) {
      batcher = Optional.of(new ClaimBatcher(settings, now));
    }
    return batcher.get();
  }

  private void step(LongFunction<List<ClaimAction>> event) {
    List<ClaimAction> actions;
    synchronized (lock) {
      actions = event.apply(clock.millis());
    }
    actions.forEach(this::perform);
  }

  private void perform(ClaimAction action) {
    if (action instanceof DeliverResult delivery) {
      resultSender.send(delivery);
    } else if (action instanceof ReadPage read) {
      perform(read);
    } else if (action instanceof WritePage write) {
      perform(write);
    }
  }

  private void perform(ReadPage read) {
    Optional<ClaimBatcher> requester = currentBatcher();
    store
        .read(read)
        .onSuccess(
            page ->
                reportResult(requester, current -> current.pageRead(read, page, clock.millis())))
        .onFailure(
            unused -> reportResult(requester, current -> current.readFailed(read, clock.millis())));
  }

  private void perform(WritePage write) {
    Optional<ClaimBatcher> requester = currentBatcher();
    store
        .write(write)
        .onSuccess(
            version -> reportResult(requester, current -> current.written(version, clock.millis())))
        .onFailure(
            failure -> reportResult(requester, current -> reportWriteFailure(current, failure)));
  }

  private List<ClaimAction> reportWriteFailure(ClaimBatcher current, Throwable failure) {
    long now = clock.millis();
    return switch (SegmentStore.failure(failure)) {
      case CONFLICT, ALREADY_EXISTS, NOT_FOUND -> current.writeConflicted(now);
      case UNCERTAIN -> current.writeUncertain(now);
      case INVALID, OVER_BUDGET, UNAVAILABLE, VERSION_TOO_OLD ->
          current.writeRefused(retryAfterMillis(failure), now);
    };
  }

  private static long retryAfterMillis(Throwable failure) {
    return failure instanceof ObjectApiException typed ? typed.retryAfterMillis().orElse(0L) : 0;
  }

  private Optional<ClaimBatcher> currentBatcher() {
    synchronized (lock) {
      return batcher;
    }
  }

  /** Passes a store result to the batcher that requested it, unless that batcher was removed. */
  private void reportResult(
      Optional<ClaimBatcher> requester, Function<ClaimBatcher, List<ClaimAction>> event) {
    step(
        now ->
            batcher
                .filter(current -> requester.filter(expected -> expected == current).isPresent())
                .map(event)
                .orElse(List.of()));
  }
}
