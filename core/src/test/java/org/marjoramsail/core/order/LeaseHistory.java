package org.marjoramsail.core.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.SuspensionWatch;

/**
 * Simulation of one random history of a lease: three holders with separate clocks, a store that
 * fails, and two engines, one of which ignores fencing tokens. It records the tokens under which
 * each engine executes orders.
 */
final class LeaseHistory {

  private static final int HOLDERS = 3;

  /**
   * One daemon, which has its own clock rate and does nothing while it pauses. The clock of a
   * suspended host stops.
   */
  private final class Holder {
    final LeaseKeeper keeper;
    final double rate;
    final SuspensionWatch watch;
    long pausedUntil;
    long disconnectedUntil;
    long suspendedMillis;

    Holder(int number, double rate, LeaseTimes times) {
      this.rate = rate;
      this.keeper = new LeaseKeeper(new DaemonId("entry-" + number, 1), times, 0);
      this.watch = new SuspensionWatch(() -> clock(now), () -> Math.round(now * rate));
    }

    long clock(long now) {
      return Math.round((now - suspendedMillis) * rate);
    }

    void suspend(long millis) {
      pausedUntil = now + millis;
      suspendedMillis += millis;
    }
  }

  private record SentOrder(long dueMillis, long token, boolean fenced) {}

  private record StoreResponse(int holder, Runnable effect) {}

  private final boolean suspending;
  private final List<Holder> holders = new ArrayList<>();
  private final List<SentOrder> sentOrders = new ArrayList<>();
  private final List<StoreResponse> responses = new ArrayList<>();
  private final List<Runnable> delayedWrites = new ArrayList<>();
  private final Map<Boolean, List<Long>> executedTokens = new HashMap<>();
  private Optional<LeaseRecord> stored = Optional.empty();
  private long version;
  private long now;
  private long outageUntil;
  private int changesOfHolder;

  /** Creates a history in which hosts pause and their clocks continue. */
  LeaseHistory() {
    this(LeaseTimes.standard(), false);
  }

  /**
   * Creates a history with the given times.
   *
   * @param suspending whether the clocks of pausing hosts stop
   */
  LeaseHistory(LeaseTimes times, boolean suspending) {
    this.suspending = suspending;
    holders.add(new Holder(0, 1.0, times));
    holders.add(new Holder(1, 1.05, times));
    holders.add(new Holder(2, 0.95, times));
    executedTokens.put(true, new ArrayList<>());
    executedTokens.put(false, new ArrayList<>());
  }

  /** Returns the tokens of the orders that an engine has executed, in sequence. */
  List<Long> tokens(boolean fenced) {
    return executedTokens.get(fenced);
  }

  int changesOfHolder() {
    return changesOfHolder;
  }

  void step(int choice) {
    int kind = choice % 100;
    int detail = choice / 100;
    Holder holder = holders.get(detail % HOLDERS);
    if (kind < 25) {
      advance(200 + detail % 9_000, detail);
    } else if (kind < 65) {
      sendOrder(holder, detail);
    } else if (kind < 75) {
      deliverResponse(detail);
    } else if (kind < 77) {
      holder.disconnectedUntil = now + 1_000L * (detail % 120);
    } else if (kind < 78) {
      release(detail % HOLDERS);
    } else if (kind < 80) {
      pause(holder, 1_000L * (detail % 120));
    } else if (kind < 83) {
      outageUntil = now + 1_000L * (detail % 60);
    } else if (kind < 86) {
      List<Runnable> due = new ArrayList<>(delayedWrites);
      delayedWrites.clear();
      due.forEach(Runnable::run);
    } else {
      callStore(detail % HOLDERS, detail / 3);
    }
  }

  private void pause(Holder holder, long millis) {
    if (now < holder.pausedUntil) {
      return;
    }
    if (suspending) {
      holder.suspend(millis);
    } else {
      holder.pausedUntil = now + millis;
    }
  }

  /** Lets all orders in flight arrive. */
  void finish() {
    advance(LeaseKeeper.MAXIMUM_IN_FLIGHT_MILLIS, 0);
  }

  private void advance(long millis, int detail) {
    now += millis;
    sentOrders.sort((left, right) -> Long.compare(left.dueMillis(), right.dueMillis()));
    while (!sentOrders.isEmpty() && sentOrders.get(0).dueMillis() <= now) {
      execute(sentOrders.remove(0));
    }
    for (int number = 0; number < HOLDERS; number++) {
      callStore(number, detail / 11 + number);
    }
  }

  private void execute(SentOrder order) {
    List<Long> tokens = executedTokens.get(order.fenced());
    long newest = tokens.stream().mapToLong(Long::longValue).max().orElse(0);
    if (!order.fenced() || order.token() >= newest) {
      tokens.add(order.token());
    }
  }

  private void sendOrder(Holder holder, int detail) {
    boolean fenced = detail / HOLDERS % 2 == 0;
    if (now < holder.pausedUntil) {
      return;
    }
    if (holder.watch.hasSuspended()) {
      holder.keeper.invalidate(holder.clock(now));
    }
    if (holder.keeper.mayAct(fenced, holder.clock(now))) {
      long delay = detail / 7 % LeaseKeeper.MAXIMUM_IN_FLIGHT_MILLIS;
      sentOrders.add(new SentOrder(now + delay, holder.keeper.token(), fenced));
    }
  }

  private void deliverResponse(int detail) {
    if (!responses.isEmpty()) {
      StoreResponse response = responses.get(detail % responses.size());
      if (now >= holders.get(response.holder()).pausedUntil) {
        responses.remove(response);
        response.effect().run();
      }
    }
  }

  private void callStore(int number, int detail) {
    Holder holder = holders.get(number);
    if (now < holder.pausedUntil) {
      return;
    }
    holder
        .keeper
        .tick(true, holder.clock(now))
        .ifPresent(call -> perform(number, holder, call, detail));
  }

  private void release(int number) {
    Holder holder = holders.get(number);
    if (now >= holder.pausedUntil) {
      holder.keeper.release().ifPresent(call -> perform(number, holder, call, 4));
    }
  }

  private void perform(int number, Holder holder, LeaseCall call, int detail) {
    int fault = now < outageUntil || now < holder.disconnectedUntil ? 0 : detail % 16;
    if (fault == 0) {
      responses.add(new StoreResponse(number, () -> holder.keeper.failed(holder.clock(now))));
    } else if (call instanceof LeaseCall.Write write && fault == 1) {
      delayedWrites.add(() -> write(write));
      responses.add(new StoreResponse(number, () -> holder.keeper.failed(holder.clock(now))));
    } else if (call instanceof LeaseCall.Write write) {
      boolean written = write(write) && fault != 2;
      String writtenVersion = Long.toString(version);
      responses.add(
          new StoreResponse(
              number,
              () -> {
                if (written) {
                  holder.keeper.written(write.lease(), writtenVersion, holder.clock(now));
                } else {
                  holder.keeper.failed(holder.clock(now));
                }
              }));
    } else {
      Optional<LeaseRecord> content = stored;
      String readVersion = content.isEmpty() ? "" : Long.toString(version);
      responses.add(
          new StoreResponse(
              number, () -> holder.keeper.read(content, readVersion, holder.clock(now))));
    }
    if (detail % 4 != 0) {
      responses.remove(responses.size() - 1).effect().run();
    }
  }

  private boolean write(LeaseCall.Write write) {
    String current = stored.isEmpty() ? "" : Long.toString(version);
    if (!current.equals(write.version())) {
      return false;
    }
    if (!stored.flatMap(LeaseRecord::holder).equals(write.lease().holder())) {
      changesOfHolder++;
    }
    stored = Optional.of(write.lease());
    version++;
    return true;
  }
}
