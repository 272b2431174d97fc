package org.marjoramsail.daemon.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;

/** Several daemons' configuration services with one store, one clock and a network of messages. */
final class FakeFleet {

  /** A message under way. */
  record Envelope(DaemonId from, DaemonId to, PeerMessage message) {}

  final ManualClock clock = new ManualClock(0);
  final FakeTimers timers = new FakeTimers(clock);
  final FakeStore store = new FakeStore();
  final List<Daemon> daemons = new ArrayList<>();
  final List<Envelope> network = new ArrayList<>();
  final List<Envelope> sent = new ArrayList<>();
  Predicate<Envelope> lost = envelope -> false;

  private final SplittableRandom random;

  FakeFleet(int size, long seed) {
    this.random = new SplittableRandom(seed);
    for (int number = 0; number < size; number++) {
      daemons.add(new Daemon(number, 1));
    }
  }

  /** One run of one daemon; a dead one makes no more calls. */
  final class Daemon {

    final int number;
    final Member member;
    final List<Long> applied = new ArrayList<>();
    final ConfigurationService service;
    private boolean alive = true;

    Daemon(int number, long incarnation) {
      this.number = number;
      DaemonId id = new DaemonId("entry-" + number, incarnation);
      this.member =
          new Member(id, "127.0.0.1", 1, "zone-" + number % 5, region(), MemberState.ALIVE);
      this.service =
          new ConfigurationService(
              new MortalStore(),
              (to, message) -> post(new Envelope(id, to, message)),
              this::view,
              clock,
              clock,
              random.split(),
              this::schedule,
              new SimpleMeterRegistry(),
              configuration -> applied.add(configuration.revision()));
    }

    private String region() {
      return number % 5 < 3 ? "region-a" : "region-b";
    }

    Configuration current() {
      return service.current();
    }

    private MembershipView view() {
      return new MembershipView(member, daemons.stream().map(daemon -> daemon.member).toList());
    }

    private Timers.Timer schedule(long delayMillis, Runnable task) {
      return timers.schedule(
          delayMillis,
          () -> {
            if (alive) {
              task.run();
            }
          });
    }

    private void post(Envelope envelope) {
      if (alive) {
        sent.add(envelope);
        network.add(envelope);
      }
    }

    /** The store as this run sees it; what a dead run would still do never happens. */
    private final class MortalStore implements ObjectApi {

      private <T> Future<T> whileAlive(Supplier<Future<T>> call) {
        if (!alive) {
          return Promise.<T>promise().future();
        }
        Promise<T> answer = Promise.promise();
        call.get()
            .onComplete(
                outcome -> {
                  if (alive) {
                    answer.handle(outcome);
                  }
                });
        return answer.future();
      }

      @Override
      public Future<StoredObject> get(String kind, String name) {
        return whileAlive(() -> store.get(kind, name));
      }

      @Override
      public Future<ObjectList> list(String kind) {
        return whileAlive(() -> store.list(kind));
      }

      @Override
      public Future<StoredObject> create(String kind, String name, ObjectNode spec) {
        return whileAlive(() -> store.create(kind, name, spec));
      }

      @Override
      public Future<StoredObject> replace(StoredObject object) {
        return whileAlive(() -> store.replace(object));
      }

      @Override
      public Future<Void> delete(StoredObject object) {
        return whileAlive(() -> store.delete(object));
      }

      @Override
      public Watch watch(String kind, String resourceVersion, WatchListener listener) {
        return store.watch(kind, resourceVersion, listener);
      }
    }
  }

  /** Kills one daemon and starts it anew, without a configuration. */
  Daemon restart(int number) {
    Daemon old = daemons.get(number);
    old.service.stop();
    old.alive = false;
    Daemon next = new Daemon(number, old.member.id().incarnation() + 1);
    daemons.set(number, next);
    next.service.start();
    return next;
  }

  void start() {
    daemons.forEach(daemon -> daemon.service.start());
  }

  /** Delivers one message, or loses it. */
  void deliver(int index) {
    Envelope envelope = network.remove(index);
    if (lost.test(envelope)) {
      return;
    }
    daemons.stream()
        .filter(daemon -> daemon.member.id().equals(envelope.to()))
        .forEach(daemon -> daemon.service.handle(envelope.from(), envelope.message()));
  }

  /** Delivers all that is under way and what follows from it. */
  void settle() {
    while (store.waiting() > 0 || !network.isEmpty()) {
      if (store.waiting() > 0) {
        store.deliver(0);
      } else {
        deliver(0);
      }
    }
  }

  /** Lets time pass in small steps, delivering all messages in each. */
  void run(long millis, long stepMillis) {
    long end = clock.millis() + millis;
    while (clock.millis() < end) {
      timers.advance(stepMillis);
      settle();
    }
  }
}
