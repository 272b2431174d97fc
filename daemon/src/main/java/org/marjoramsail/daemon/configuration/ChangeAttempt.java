package org.marjoramsail.daemon.configuration;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.AcceptanceStep;
import org.marjoramsail.core.configuration.ChangeAcceptor;
import org.marjoramsail.core.configuration.ChangeRefusal;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/** Carries one change until it is accepted, refused, or out of time; one call at a time. */
final class ChangeAttempt {

  private static final long PATIENCE_MILLIS = 10_000;
  private static final long FIRST_PAUSE_MILLIS = 50;
  private static final long LONGEST_PAUSE_MILLIS = 2_000;

  private final ConfigurationChange change;
  private final ObjectApi store;
  private final RevisionHistory history;
  private final Clock clock;
  private final Clock wallClock;
  private final RandomGenerator random;
  private final Timers timers;
  private final LongSupplier revisionInForce;
  private final Promise<ChangeResult> result = Promise.promise();
  private final long startedMillis;

  private OptionalLong firstReadRevision = OptionalLong.empty();
  private Optional<String> uncertainVersion = Optional.empty();
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  ChangeAttempt(
      ConfigurationChange change,
      ObjectApi store,
      RevisionHistory history,
      Clock clock,
      Clock wallClock,
      RandomGenerator random,
      Timers timers,
      LongSupplier revisionInForce) {
    this.change = change;
    this.store = store;
    this.history = history;
    this.clock = clock;
    this.wallClock = wallClock;
    this.random = random;
    this.timers = timers;
    this.revisionInForce = revisionInForce;
    this.startedMillis = clock.millis();
  }

  Future<ChangeResult> run() {
    read();
    return result.future();
  }

  private void read() {
    RootObject.read(store).onComplete(this::decide, this::pauseOrGiveUp);
  }

  private void decide(RootObject current) {
    // Failure: the answer to an update is lost. The update may even arrive after this reading, so
    // a root without the order proves nothing by itself. Once the root has another version than the
    // one that the update named, the update can no longer take effect.
    if (uncertainVersion.isPresent() && !uncertainVersion.get().equals(current.resourceVersion())) {
      uncertainVersion = Optional.empty();
    }
    long revision = current.root().configuration().revision();
    if (firstReadRevision.isEmpty()) {
      firstReadRevision = OptionalLong.of(revision);
    }
    AcceptanceStep step =
        ChangeAcceptor.decide(
            change,
            current.root(),
            firstReadRevision.getAsLong(),
            revisionInForce.getAsLong(),
            wallClock.millis());
    if (step instanceof AcceptanceStep.AlreadyAccepted settled) {
      finish(new ChangeResult.Accepted(settled.record(), current.root()));
    } else if (step instanceof AcceptanceStep.Write write) {
      write(current, write);
    } else {
      refuse(((AcceptanceStep.Refuse) step).refusal());
    }
  }

  private void write(RootObject current, AcceptanceStep.Write step) {
    Optional<ChangeRefusal> tooLarge = RootObject.refusalForSize(step.next());
    if (tooLarge.isPresent()) {
      refuse(tooLarge.get());
      return;
    }
    history.keep(current.root()).onComplete(kept -> replace(current, step), this::pauseOrGiveUp);
  }

  private void replace(RootObject current, AcceptanceStep.Write step) {
    current
        .replaceBy(step.next(), store)
        .onComplete(
            written -> {
              history.prune(step.record().revision());
              finish(new ChangeResult.Accepted(step.record(), step.next()));
            },
            failure -> replaceFailed(current, failure));
  }

  private void replaceFailed(RootObject current, Throwable failure) {
    if (failure instanceof ObjectApiException refused && refused.failure() == Failure.INVALID) {
      refuse(new ChangeRefusal.StoreRefused(refused.getMessage()));
      return;
    }
    if (!(failure instanceof ObjectApiException refused && refused.failure().isWithoutEffect())) {
      uncertainVersion = Optional.of(current.resourceVersion());
    }
    pauseOrGiveUp(failure);
  }

  private void pauseOrGiveUp(Throwable failure) {
    if (failure instanceof ConfigurationFormatException) {
      refuse(new ChangeRefusal.StoreRefused(failure.getMessage()));
      return;
    }
    if (clock.millis() - startedMillis >= PATIENCE_MILLIS) {
      refuse(new ChangeRefusal.StoreUnavailable(failure.getMessage()));
      return;
    }
    long asked =
        failure instanceof ObjectApiException refused ? refused.retryAfterMillis().orElse(0L) : 0L;
    long pause = Math.max(asked, random.nextLong(pauseMillis / 2, pauseMillis + 1));
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    timers.schedule(pause, this::read);
  }

  private void refuse(ChangeRefusal refusal) {
    boolean settled = uncertainVersion.isEmpty();
    finish(
        new ChangeResult.Refused(settled ? refusal : new ChangeRefusal.Unsettled(change.order())));
  }

  private void finish(ChangeResult outcome) {
    result.tryComplete(outcome);
  }
}
