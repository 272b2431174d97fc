package org.marjoramsail.daemon.configuration;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;

/**
 * Watches the root, from a list on and again after each end.
 *
 * <p>Each opening has a number, so that what an earlier one still says is dropped.
 */
final class RootWatch {

  private static final long FIRST_PAUSE_MILLIS = 250;
  private static final long LONGEST_PAUSE_MILLIS = 15_000;
  private static final long SILENCE_MILLIS = 120_000;

  private final ObjectApi store;
  private final Clock clock;
  private final RandomGenerator random;
  private final Timers timers;
  private final MeterRegistry meters;
  private final Consumer<Configuration> listener;
  private final Consumer<Boolean> storeReachable;

  private Optional<ObjectApi.Watch> watch = Optional.empty();
  private long opening;
  private boolean open;
  private String lastVersion = "";
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private long heardMillis;

  RootWatch(
      ObjectApi store,
      Clock clock,
      RandomGenerator random,
      Timers timers,
      MeterRegistry meters,
      Consumer<Configuration> listener,
      Consumer<Boolean> storeReachable) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    this.timers = timers;
    this.meters = meters;
    this.listener = listener;
    this.storeReachable = storeReachable;
  }

  /** Begins to watch; does nothing while it watches. */
  synchronized void open() {
    if (!open) {
      open = true;
      begin();
    }
  }

  /** Ends the watch. */
  synchronized void close() {
    open = false;
    opening++;
    watch.ifPresent(ObjectApi.Watch::close);
    watch = Optional.empty();
  }

  /** Opens the watch again where it has been silent for long, bookmarks included. */
  synchronized void checkSilence() {
    // Failure: a firewall drops the connection of an idle watch and neither end is told. It shows
    // as changes that never arrive. Bookmarks come often, so a long silence is taken for an end.
    if (open && watch.isPresent() && clock.millis() - heardMillis > SILENCE_MILLIS) {
      restart("silence");
    }
  }

  private void begin() {
    opening++;
    heardMillis = clock.millis();
    long number = opening;
    if (lastVersion.isEmpty()) {
      store
          .list(RootObject.KIND)
          .onComplete(list -> listed(number, list), failure -> ended(number, failure));
    } else {
      watchFrom(number, lastVersion);
    }
  }

  private synchronized void listed(long number, ObjectList list) {
    if (!isCurrent(number)) {
      return;
    }
    storeReachable.accept(true);
    list.objects().stream()
        .filter(object -> object.name().equals(RootObject.NAME))
        .forEach(this::tell);
    watchFrom(number, list.resourceVersion());
  }

  private void watchFrom(long number, String version) {
    lastVersion = version;
    ObjectApi.Watch opened = store.watch(RootObject.KIND, version, new Listener(number));
    if (isCurrent(number)) {
      watch = Optional.of(opened);
    } else {
      opened.close();
    }
  }

  private synchronized void stored(long number, StoredObject object) {
    if (isCurrent(number)) {
      heard(object.resourceVersion());
      if (object.name().equals(RootObject.NAME)) {
        tell(object);
      }
    }
  }

  private synchronized void bookmark(long number, String version) {
    if (isCurrent(number)) {
      heard(version);
    }
  }

  private void heard(String version) {
    lastVersion = version;
    heardMillis = clock.millis();
    pauseMillis = FIRST_PAUSE_MILLIS;
    storeReachable.accept(true);
  }

  private synchronized void ended(long number, Throwable failure) {
    if (!isCurrent(number)) {
      return;
    }
    boolean tooOld = RootObject.isFailure(failure, Failure.VERSION_TOO_OLD);
    if (tooOld) {
      lastVersion = "";
    } else {
      storeReachable.accept(false);
    }
    restart(reasonOf(failure));
  }

  private void restart(String reason) {
    meters.counter("marjoramsail.configuration.watch.restarts", "reason", reason).increment();
    watch.ifPresent(ObjectApi.Watch::close);
    watch = Optional.empty();
    opening++;
    long number = opening;
    // Failure: the store comes back after an outage and all watchers call it in the same moment.
    // The random part spreads them, and pauses grow while it stays away.
    long pause = pauseMillis / 2 + random.nextLong(pauseMillis);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    timers.schedule(pause, () -> resume(number));
  }

  private synchronized void resume(long number) {
    if (isCurrent(number)) {
      begin();
    }
  }

  private boolean isCurrent(long number) {
    return open && number == opening;
  }

  private void tell(StoredObject object) {
    Future<RootObject> root = RootObject.parse(object);
    root.onComplete(
        parsed -> listener.accept(parsed.root().configuration()),
        malformed -> meters.counter("marjoramsail.configuration.malformed").increment());
  }

  private static String reasonOf(Throwable failure) {
    return failure instanceof ObjectApiException refused
        ? refused.failure().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
        : "malformed";
  }

  /** Receives the events of one watch. */
  private final class Listener implements ObjectApi.WatchListener {

    private final long number;

    Listener(long number) {
      this.number = number;
    }

    @Override
    public void stored(StoredObject object) {
      RootWatch.this.stored(number, object);
    }

    @Override
    public void deleted(StoredObject object) {
      bookmark(object.resourceVersion());
    }

    @Override
    public void bookmark(String resourceVersion) {
      RootWatch.this.bookmark(number, resourceVersion);
    }

    @Override
    public void ended(ObjectApiException cause) {
      RootWatch.this.ended(number, cause);
    }
  }
}
