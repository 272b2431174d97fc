package org.marjoramsail.daemon.configuration;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationFollower;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.FollowerAction;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.RevisionSource;
import org.marjoramsail.core.configuration.RevisionStatusMessage;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.message.PeerMessageHandler;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration of this daemon: in force here, accepted here, and spread from here.
 *
 * <p>Safe on any thread.
 */
public final class ConfigurationService implements PeerMessageHandler, ConfigurationChanges {

  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
  private static final long TICK_MILLIS = 250;

  private final ObjectApi store;
  private final PeerTransport transport;
  private final Supplier<MembershipView> membership;
  private final Clock clock;
  private final Timers timers;
  private final MeterRegistry meters;
  private final Consumer<Configuration> listener;
  private final ConfigurationFollower follower;
  private final RootWatch watch;
  private final ChangeAcceptance acceptance;
  private final Map<Long, InForceQuestion> questions = new ConcurrentHashMap<>();
  private final AtomicLong nextQuestion = new AtomicLong();
  private final Object followerLock = new Object();
  private final Object listenerLock = new Object();

  private long toldRevision;
  private volatile boolean running;
  private volatile boolean storeReachable = true;

  /**
   * Creates an instance with all that it needs; does nothing until it is started.
   *
   * @param store where the root is kept
   * @param transport sends messages to other daemons
   * @param membership the daemons, as seen now
   * @param clock the time
   * @param wallClock dates acceptances, for people only
   * @param random spreads calls and chooses other daemons
   * @param timers wakes it up
   * @param meters counts what it does
   * @param listener told of each revision in force, each newer than the one before
   */
  public ConfigurationService(
      ObjectApi store,
      PeerTransport transport,
      Supplier<MembershipView> membership,
      Clock clock,
      Clock wallClock,
      RandomGenerator random,
      Timers timers,
      MeterRegistry meters,
      Consumer<Configuration> listener) {
    this.store = store;
    this.transport = transport;
    this.membership = membership;
    this.clock = clock;
    this.timers = timers;
    this.meters = meters;
    this.listener = listener;
    RandomGenerator shared = new LockedRandom(random);
    this.follower = new ConfigurationFollower(new CompressedPacker(), shared, clock.millis());
    this.watch =
        new RootWatch(store, clock, shared, timers, meters, this::watched, this::reachable);
    this.acceptance =
        new ChangeAcceptance(
            store, clock, wallClock, shared, timers, () -> current().revision(), meters);
    meters.gauge("marjoramsail.configuration.revision", this, it -> it.current().revision());
  }

  /** Begins to follow the configuration. */
  public void start() {
    running = true;
    tick();
  }

  /** Ends the watch and all repeated work; what is in force stays so. */
  public void stop() {
    running = false;
    watch.close();
  }

  /** The revision in force on this daemon; the empty one before there is any. */
  public Configuration current() {
    synchronized (followerLock) {
      return follower.current();
    }
  }

  /** Where the revision in force was learned. */
  public RevisionSource source() {
    synchronized (followerLock) {
      return follower.source();
    }
  }

  /** Whether there is a configuration to serve by. */
  public boolean isReady() {
    synchronized (followerLock) {
      return follower.isReady();
    }
  }

  /** Whether the store answered when this daemon last called it. */
  public boolean isStoreReachable() {
    return storeReachable;
  }

  @Override
  public Future<ChangeResult> accept(ConfigurationChange change) {
    return acceptance.accept(change).onSuccess(this::takeAccepted);
  }

  @Override
  public Future<ChangeResult> validate(ConfigurationChange change) {
    return acceptance.validate(change);
  }

  @Override
  public Future<ChangeResult> rollBack(
      OrderId order, String author, String summary, Optional<Long> base, long revision) {
    return acceptance
        .rollBack(order, author, summary, base, revision)
        .onSuccess(this::takeAccepted);
  }

  @Override
  public Future<Optional<ConfigurationRoot>> revision(long revision) {
    return acceptance.revision(revision);
  }

  @Override
  public Future<ConfigurationRoot> newest() {
    return acceptance.newest();
  }

  /**
   * Asks all daemons whether a revision is in force; never fails.
   *
   * @param patienceMillis how long to wait until it is in force on all
   */
  public Future<InForceReport> inForce(long revision, long patienceMillis) {
    long number = nextQuestion.incrementAndGet();
    InForceQuestion question =
        new InForceQuestion(
            number, revision, () -> current().revision(), membership.get(), transport, timers);
    questions.put(number, question);
    return question.ask(patienceMillis).onComplete(ignored -> questions.remove(number));
  }

  @Override
  public void handle(DaemonId from, PeerMessage message) {
    if (message instanceof RevisionStatusMessage answer) {
      Optional.ofNullable(questions.get(answer.question()))
          .ifPresent(question -> question.answered(from, answer.revision()));
      return;
    }
    List<FollowerAction> actions;
    synchronized (followerLock) {
      actions = follower.handle(from, message, membership.get(), clock.millis());
    }
    actions.forEach(this::perform);
  }

  private void tick() {
    if (!running) {
      return;
    }
    List<FollowerAction> actions;
    synchronized (followerLock) {
      actions = follower.tick(membership.get(), clock.millis());
    }
    actions.forEach(this::perform);
    watch.checkSilence();
    timers.schedule(TICK_MILLIS, this::tick);
  }

  private void watched(Configuration configuration) {
    learn(configuration, RevisionSource.STORE);
  }

  private void reachable(boolean answered) {
    if (answered != storeReachable) {
      storeReachable = answered;
      LOG.atInfo()
          .addKeyValue("reachable", answered)
          .addKeyValue("revision", current().revision())
          .log("the store's reachability changed");
    }
  }

  private void takeAccepted(ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      learn(accepted.root().configuration(), RevisionSource.ACCEPTANCE);
    }
  }

  private void learn(Configuration configuration, RevisionSource source) {
    List<FollowerAction> actions;
    synchronized (followerLock) {
      if (configuration.revision() < follower.current().revision()) {
        meters.counter("marjoramsail.configuration.older.dropped").increment();
      }
      actions = follower.receiveRevision(configuration, source, membership.get());
    }
    actions.forEach(this::perform);
  }

  private void perform(FollowerAction action) {
    if (action instanceof FollowerAction.Send send) {
      String kind = send.message().getClass().getSimpleName();
      meters.counter("marjoramsail.configuration.messages", "kind", kind).increment();
      transport.send(send.to(), send.message());
    } else if (action instanceof FollowerAction.Apply apply) {
      apply(apply);
    } else if (action instanceof FollowerAction.OpenWatch) {
      watch.open();
    } else if (action instanceof FollowerAction.CloseWatch) {
      watch.close();
    } else if (action instanceof FollowerAction.ReadStore) {
      readStore();
    }
  }

  private void readStore() {
    RootObject.read(store)
        .onComplete(
            root -> {
              reachable(true);
              watched(root.root().configuration());
            },
            failure -> reachable(false));
  }

  private void apply(FollowerAction.Apply apply) {
    synchronized (listenerLock) {
      // Failure: two threads carry out two revisions and the older comes last. It would show as a
      // change that is undone here alone. The listener's lock and this check keep the order.
      long revision = apply.configuration().revision();
      if (revision <= toldRevision) {
        return;
      }
      LOG.atInfo()
          .addKeyValue("revision", revision)
          .addKeyValue("source", apply.source())
          .addKeyValue("from", apply.from().map(DaemonId::toString).orElse(""))
          .addKeyValue("storeReachable", storeReachable)
          .log(toldRevision == 0 ? "first configuration in force" : "configuration in force");
      toldRevision = revision;
      meters
          .counter("marjoramsail.configuration.applied", "source", apply.source().name())
          .increment();
      listener.accept(apply.configuration());
    }
  }
}
