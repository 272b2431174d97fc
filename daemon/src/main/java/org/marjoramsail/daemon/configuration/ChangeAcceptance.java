package org.marjoramsail.daemon.configuration;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.AcceptanceStep;
import org.marjoramsail.core.configuration.ChangeAcceptor;
import org.marjoramsail.core.configuration.ChangeRefusal;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;

/**
 * Accepts operators' changes by one conditional update of one object.
 *
 * <p>Safe on any thread; each change is carried by an object of its own.
 */
public final class ChangeAcceptance implements ConfigurationChanges {

  private final ObjectApi store;
  private final Clock clock;
  private final Clock wallClock;
  private final RandomGenerator random;
  private final Timers timers;
  private final LongSupplier revisionInForce;
  private final RevisionHistory history;
  private final MeterRegistry meters;

  /**
   * Creates an instance with all that it needs.
   *
   * @param store where the root is kept
   * @param clock for the time that an attempt may take
   * @param wallClock dates acceptances, for people only
   * @param random spreads repeated attempts
   * @param timers wakes up repeated attempts
   * @param revisionInForce the revision in force on this daemon; nothing older is built on
   * @param meters counts changes by outcome
   */
  public ChangeAcceptance(
      ObjectApi store,
      Clock clock,
      Clock wallClock,
      RandomGenerator random,
      Timers timers,
      LongSupplier revisionInForce,
      MeterRegistry meters) {
    this.store = store;
    this.clock = clock;
    this.wallClock = wallClock;
    this.random = random;
    this.timers = timers;
    this.revisionInForce = revisionInForce;
    this.history = new RevisionHistory(store, meters);
    this.meters = meters;
  }

  @Override
  public Future<ChangeResult> accept(ConfigurationChange change) {
    return new ChangeAttempt(
            change, store, history, clock, wallClock, random, timers, revisionInForce)
        .run()
        .onSuccess(this::count);
  }

  @Override
  public Future<ChangeResult> validate(ConfigurationChange change) {
    return RootObject.read(store)
        .map(root -> trial(change, root.root()))
        .recover(failure -> Future.succeededFuture(unavailable(failure)));
  }

  @Override
  public Future<ChangeResult> rollBack(
      OrderId order, String author, String summary, Optional<Long> base, long revision) {
    return history
        .read(revision)
        .compose(
            kept ->
                kept.isEmpty()
                    ? Future.succeededFuture(
                        new ChangeResult.Refused(new ChangeRefusal.RevisionNotKept(revision)))
                    : accept(restoring(order, author, summary, base, kept.get())))
        .recover(failure -> Future.succeededFuture(unavailable(failure)));
  }

  @Override
  public Future<Optional<ConfigurationRoot>> revision(long revision) {
    return history.read(revision);
  }

  @Override
  public Future<ConfigurationRoot> newest() {
    return RootObject.read(store).map(RootObject::root);
  }

  private static ConfigurationChange restoring(
      OrderId order, String author, String summary, Optional<Long> base, ConfigurationRoot kept) {
    Configuration configuration = kept.configuration();
    return new ConfigurationChange(
        order,
        author,
        summary,
        base,
        java.util.List.of(new ConfigurationOperation.Restore(configuration)));
  }

  private ChangeResult trial(ConfigurationChange change, ConfigurationRoot root) {
    AcceptanceStep step =
        ChangeAcceptor.decide(
            change,
            root,
            root.configuration().revision(),
            revisionInForce.getAsLong(),
            wallClock.millis());
    if (step instanceof AcceptanceStep.AlreadyAccepted settled) {
      return new ChangeResult.Accepted(settled.record(), root);
    }
    if (step instanceof AcceptanceStep.Write write) {
      return RootObject.refusalForSize(write.next())
          .<ChangeResult>map(ChangeResult.Refused::new)
          .orElseGet(() -> new ChangeResult.DryRun(write.difference()));
    }
    return new ChangeResult.Refused(((AcceptanceStep.Refuse) step).refusal());
  }

  private static ChangeResult unavailable(Throwable failure) {
    return new ChangeResult.Refused(new ChangeRefusal.StoreUnavailable(failure.getMessage()));
  }

  private void count(ChangeResult result) {
    String outcome =
        result instanceof ChangeResult.Refused refused ? refused.refusal().code() : "accepted";
    meters.counter("marjoramsail.configuration.changes", "outcome", outcome).increment();
  }
}
