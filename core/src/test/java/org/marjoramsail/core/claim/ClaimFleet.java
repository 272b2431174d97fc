package org.marjoramsail.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.model.DaemonId;

/**
 * Simulation of several daemons, a store and a network, driven step by step, which records each
 * violation of the rule that a key is granted at most once.
 */
final class ClaimFleet {

  static final ClaimSettings SETTINGS = new ClaimSettings(1, 4, 2, 3, 50, 20, 200, 50, 300, 30_000);

  private static final long CLAIM_WITHIN_MILLIS = 1_500;
  private static final int DAEMON_COUNT = 3;

  /** Outcome of the delivery of a message or of a call of the store. */
  enum DeliveryOutcome {
    DELIVERED,
    LOST,
    DUPLICATED,
    DELAYED
  }

  private record PageWrite(int slot, Optional<String> expectedVersion, ClaimPage page) {}

  private record Message(int to, DaemonId from, Object content) {}

  private record Call(int daemon, DaemonId caller, ClaimAction action) {}

  /** A grant that no NOT_RUN outcome has undone, with the time at which its claim was opened. */
  private record ActiveGrant(ClaimId id, long openedMillis) {}

  private static final class Daemon {
    private DaemonId id;
    private long clockOffsetMillis;
    private long sequence;
    private ClaimBatcher batcher;
    private ClaimRequests requests;
    private final Map<ClaimId, Claim> open = new HashMap<>();
    private final List<Claim> running = new ArrayList<>();
  }

  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<Integer, VersionedPage> store = new HashMap<>();
  private final List<PageWrite> delayedWrites = new ArrayList<>();
  private final List<Message> network = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final Map<String, ActiveGrant> activeGrants = new HashMap<>();
  private final Map<ClaimId, Long> openedMillis = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis;
  private long nextVersion = 1;
  private int grants;

  ClaimFleet() {
    for (int daemon = 0; daemon < DAEMON_COUNT; daemon++) {
      daemons.add(new Daemon());
      daemons.get(daemon).clockOffsetMillis = daemon * 1_000_000L;
      restart(daemon);
    }
  }

  List<String> violations() {
    return violations;
  }

  int grants() {
    return grants;
  }

  int openClaims() {
    return daemons.stream().mapToInt(daemon -> daemon.open.size()).sum();
  }

  void restart(int index) {
    Daemon daemon = daemons.get(index % DAEMON_COUNT);
    long incarnation = daemon.id == null ? 1 : daemon.id.incarnation() + 1;
    daemon.id = new DaemonId("host-" + index % DAEMON_COUNT, incarnation);
    daemon.batcher = new ClaimBatcher(SETTINGS, clock(daemon));
    daemon.requests = new ClaimRequests(SETTINGS);
    daemon.open.clear();
    daemon.running.clear();
  }

  void claim(int index, int key, int body) {
    Daemon daemon = daemons.get(index % DAEMON_COUNT);
    ClaimId id = new ClaimId(daemon.id, daemon.sequence++);
    Claim claim = new Claim(id, "key-" + key, "body-" + body, CLAIM_WITHIN_MILLIS);
    daemon.open.put(id, claim);
    openedMillis.put(id, nowMillis);
    performSteps(daemon, daemon.requests.open(claim, clock(daemon)), index);
  }

  /** Settles the request that a daemon has been running for the longest time. */
  void settle(int index, ClaimState state, int owner) {
    Daemon daemon = daemons.get(index % DAEMON_COUNT);
    if (daemon.running.isEmpty()) {
      return;
    }
    Claim claim = daemon.running.remove(0);
    if (state == ClaimState.NOT_RUN) {
      activeGrants.remove(claim.keyHash());
    }
    Settlement settlement =
        new Settlement(claim.id(), claim.keyHash(), new ClaimOutcome(state, 200, "done"));
    network.add(new Message(owner % DAEMON_COUNT, daemon.id, settlement));
  }

  /** Advances the time of all daemons and calls the timer of one. */
  void advance(long millis, int index) {
    nowMillis += millis;
    tick(index, index);
  }

  /** Lets the clock of one daemon jump forward. */
  void jumpClock(int index, long millis) {
    daemons.get(index % DAEMON_COUNT).clockOffsetMillis += millis;
    tick(index, index);
  }

  void tick(int index, int owner) {
    Daemon daemon = daemons.get(index % DAEMON_COUNT);
    performSteps(daemon, daemon.requests.tick(clock(daemon)), owner);
    performActions(index % DAEMON_COUNT, daemon.batcher.tick(clock(daemon)));
  }

  void deliver(int which, DeliveryOutcome outcome) {
    if (network.isEmpty()) {
      return;
    }
    int chosen = which % network.size();
    Message message = network.get(chosen);
    if (outcome != DeliveryOutcome.DUPLICATED) {
      network.remove(chosen);
    }
    if (outcome == DeliveryOutcome.DELIVERED || outcome == DeliveryOutcome.DUPLICATED) {
      receive(message);
    }
  }

  private void receive(Message message) {
    Daemon daemon = daemons.get(message.to());
    if (message.content() instanceof Claim claim) {
      performActions(message.to(), daemon.batcher.claim(claim, clock(daemon)));
    } else if (message.content() instanceof Settlement settlement) {
      performActions(message.to(), daemon.batcher.settle(settlement, clock(daemon)));
    } else if (message.content() instanceof ClaimAction.DeliverResult delivery
        && delivery.claim().daemon().equals(daemon.id)) {
      performSteps(
          daemon, daemon.requests.result(delivery.claim(), delivery.result()), message.to() + 1);
    }
  }

  /** Completes a store call: LOST loses the response, DELAYED applies a write later. */
  void completeCall(int which, DeliveryOutcome outcome) {
    if (calls.isEmpty()) {
      return;
    }
    Call call = calls.remove(which % calls.size());
    Daemon daemon = daemons.get(call.daemon());
    boolean callerAlive = daemon.id.equals(call.caller());
    if (call.action() instanceof ClaimAction.ReadPage read) {
      if (callerAlive) {
        performActions(call.daemon(), completeRead(daemon, read, outcome));
      }
    } else if (call.action() instanceof ClaimAction.WritePage write) {
      List<ClaimAction> actions = completeWrite(daemon, write, outcome, callerAlive);
      performActions(call.daemon(), actions);
    }
  }

  private List<ClaimAction> completeRead(
      Daemon daemon, ClaimAction.ReadPage read, DeliveryOutcome outcome) {
    return outcome == DeliveryOutcome.DELIVERED || outcome == DeliveryOutcome.DUPLICATED
        ? daemon.batcher.pageRead(read, Optional.ofNullable(store.get(read.slot())), clock(daemon))
        : daemon.batcher.readFailed(read, clock(daemon));
  }

  private List<ClaimAction> completeWrite(
      Daemon daemon, ClaimAction.WritePage write, DeliveryOutcome outcome, boolean callerAlive) {
    PageWrite pageWrite = new PageWrite(write.slot(), write.expectedVersion(), write.page());
    if (outcome == DeliveryOutcome.DELAYED) {
      delayedWrites.add(pageWrite);
      return callerAlive ? daemon.batcher.writeUncertain(clock(daemon)) : List.of();
    }
    Optional<String> version = apply(pageWrite);
    if (!callerAlive) {
      return List.of();
    }
    if (outcome == DeliveryOutcome.LOST) {
      return daemon.batcher.writeUncertain(clock(daemon));
    }
    return version
        .map(written -> daemon.batcher.written(written, clock(daemon)))
        .orElseGet(() -> daemon.batcher.writeConflicted(clock(daemon)));
  }

  /** Fails a call without a change, as in an outage, and reports that to its caller. */
  void refuseCall(int which) {
    if (calls.isEmpty()) {
      return;
    }
    Call call = calls.remove(which % calls.size());
    Daemon daemon = daemons.get(call.daemon());
    if (!daemon.id.equals(call.caller())) {
      return;
    }
    performActions(
        call.daemon(),
        call.action() instanceof ClaimAction.ReadPage read
            ? daemon.batcher.readFailed(read, clock(daemon))
            : daemon.batcher.writeRefused(0, clock(daemon)));
  }

  void applyDelayedWrite(int which) {
    if (!delayedWrites.isEmpty()) {
      apply(delayedWrites.remove(which % delayedWrites.size()));
    }
  }

  private Optional<String> apply(PageWrite write) {
    Optional<String> current =
        Optional.ofNullable(store.get(write.slot())).map(VersionedPage::version);
    if (!current.equals(write.expectedVersion())) {
      return Optional.empty();
    }
    String version = Long.toString(nextVersion++);
    store.put(write.slot(), new VersionedPage(version, write.page()));
    return Optional.of(version);
  }

  private void performActions(int index, List<ClaimAction> actions) {
    Daemon daemon = daemons.get(index);
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.DeliverResult delivery) {
        int to = Integer.parseInt(delivery.claim().daemon().host().substring("host-".length()));
        network.add(new Message(to, daemon.id, delivery));
      } else {
        calls.add(new Call(index, daemon.id, action));
      }
    }
  }

  private void performSteps(Daemon daemon, List<ClaimRequests.Step> steps, int owner) {
    for (ClaimRequests.Step step : steps) {
      if (step instanceof ClaimRequests.Step.SendClaim send) {
        network.add(new Message(owner % DAEMON_COUNT, daemon.id, send.claim()));
      } else if (step instanceof ClaimRequests.Step.Settle settle) {
        network.add(new Message(owner % DAEMON_COUNT, daemon.id, settle.settlement()));
      } else if (step instanceof ClaimRequests.Step.Finish finish) {
        finish(daemon, finish);
      }
    }
  }

  private void finish(Daemon daemon, ClaimRequests.Step.Finish finish) {
    Claim claim = daemon.open.remove(finish.claim());
    if (claim == null) {
      violations.add("A second result for " + finish.claim());
      return;
    }
    if (finish.result().kind() != Kind.GRANTED) {
      return;
    }
    grants++;
    ActiveGrant earlier = activeGrants.get(claim.keyHash());
    if (earlier != null && nowMillis - earlier.openedMillis() < SETTINGS.retentionMillis()) {
      violations.add(claim.keyHash() + " was granted to " + earlier.id() + " and " + claim.id());
    }
    activeGrants.put(claim.keyHash(), new ActiveGrant(claim.id(), openedMillis.get(claim.id())));
    daemon.running.add(claim);
  }

  private long clock(Daemon daemon) {
    return nowMillis + daemon.clockOffsetMillis;
  }

  /** Delivers all messages and calls without faults until the daemons are idle. */
  void runWithoutFaults() {
    for (int round = 0; round < 400; round++) {
      applyDelayedWrite(0);
      while (!network.isEmpty() || !calls.isEmpty()) {
        deliver(0, DeliveryOutcome.DELIVERED);
        completeCall(0, DeliveryOutcome.DELIVERED);
      }
      nowMillis += 20;
      for (int daemon = 0; daemon < DAEMON_COUNT; daemon++) {
        tick(daemon, 0);
      }
    }
  }
}
