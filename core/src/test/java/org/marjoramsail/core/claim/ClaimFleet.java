package org.marjoramsail.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.model.DaemonId;

/** Several daemons, a store and a network, all driven step by step; the oracle watches grants. */
final class ClaimFleet {

  static final ClaimSettings SETTINGS = new ClaimSettings(1, 4, 2, 3, 50, 20, 200, 50, 300, 30_000);

  private static final long CLAIM_WITHIN_MILLIS = 1_500;
  private static final int DAEMONS = 3;

  /** How the network or the store treats what is under way. */
  enum Fate {
    DELIVERED,
    LOST,
    COPIED,
    LATE
  }

  private record PageWrite(int slot, Optional<String> expectedVersion, ClaimPage page) {}

  private record Message(int to, DaemonId from, Object content) {}

  private record Call(int daemon, DaemonId caller, ClaimAction action) {}

  /** A grant that no proof has undone: who has it, and when it was asked for. */
  private record Held(ClaimId id, long openedMillis) {}

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
  private final List<PageWrite> lateWrites = new ArrayList<>();
  private final List<Message> network = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final Map<String, Held> held = new HashMap<>();
  private final Map<ClaimId, Long> openedMillis = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis;
  private long nextVersion = 1;
  private int grants;

  ClaimFleet() {
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
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
    Daemon daemon = daemons.get(index % DAEMONS);
    long incarnation = daemon.id == null ? 1 : daemon.id.incarnation() + 1;
    daemon.id = new DaemonId("host-" + index % DAEMONS, incarnation);
    daemon.batcher = new ClaimBatcher(SETTINGS, clock(daemon));
    daemon.requests = new ClaimRequests(SETTINGS);
    daemon.open.clear();
    daemon.running.clear();
  }

  void claim(int index, int key, int body) {
    Daemon daemon = daemons.get(index % DAEMONS);
    ClaimId id = new ClaimId(daemon.id, daemon.sequence++);
    Claim claim = new Claim(id, "key-" + key, "body-" + body, CLAIM_WITHIN_MILLIS);
    daemon.open.put(id, claim);
    openedMillis.put(id, nowMillis);
    perform(daemon, daemon.requests.open(claim, clock(daemon)), index);
  }

  /** Ends the request that a daemon has run longest. */
  void settle(int index, ClaimState state, int owner) {
    Daemon daemon = daemons.get(index % DAEMONS);
    if (daemon.running.isEmpty()) {
      return;
    }
    Claim claim = daemon.running.remove(0);
    if (state == ClaimState.NOT_RUN) {
      held.remove(claim.keyHash());
    }
    Settlement settlement =
        new Settlement(claim.id(), claim.keyHash(), new ClaimOutcome(state, 200, "done"));
    network.add(new Message(owner % DAEMONS, daemon.id, settlement));
  }

  /** Moves time for all, and lets one daemon notice. */
  void advance(long millis, int index) {
    nowMillis += millis;
    tick(index, index);
  }

  /** A clock that jumps forward on one daemon alone. */
  void jump(int index, long millis) {
    daemons.get(index % DAEMONS).clockOffsetMillis += millis;
    tick(index, index);
  }

  void tick(int index, int owner) {
    Daemon daemon = daemons.get(index % DAEMONS);
    perform(daemon, daemon.requests.tick(clock(daemon)), owner);
    act(index % DAEMONS, daemon.batcher.tick(clock(daemon)));
  }

  void deliver(int which, Fate fate) {
    if (network.isEmpty()) {
      return;
    }
    int chosen = which % network.size();
    Message message = network.get(chosen);
    if (fate != Fate.COPIED) {
      network.remove(chosen);
    }
    if (fate == Fate.DELIVERED || fate == Fate.COPIED) {
      receive(message);
    }
  }

  private void receive(Message message) {
    Daemon daemon = daemons.get(message.to());
    if (message.content() instanceof Claim claim) {
      act(message.to(), daemon.batcher.claim(claim, clock(daemon)));
    } else if (message.content() instanceof Settlement settlement) {
      act(message.to(), daemon.batcher.settle(settlement, clock(daemon)));
    } else if (message.content() instanceof ClaimAction.DeliverResult answer
        && answer.claim().daemon().equals(daemon.id)) {
      perform(daemon, daemon.requests.result(answer.claim(), answer.result()), message.to() + 1);
    }
  }

  /** Lets the store work on a call: LOST loses the answer, LATE lets a write land afterwards. */
  void serve(int which, Fate fate) {
    if (calls.isEmpty()) {
      return;
    }
    Call call = calls.remove(which % calls.size());
    Daemon daemon = daemons.get(call.daemon());
    boolean alive = daemon.id.equals(call.caller());
    if (call.action() instanceof ClaimAction.ReadPage read) {
      if (alive) {
        act(call.daemon(), answerRead(daemon, read, fate));
      }
    } else if (call.action() instanceof ClaimAction.WritePage write) {
      List<ClaimAction> actions = serveWrite(daemon, write, fate, alive);
      act(call.daemon(), actions);
    }
  }

  private List<ClaimAction> answerRead(Daemon daemon, ClaimAction.ReadPage read, Fate fate) {
    return fate == Fate.DELIVERED || fate == Fate.COPIED
        ? daemon.batcher.pageRead(read, Optional.ofNullable(store.get(read.slot())), clock(daemon))
        : daemon.batcher.readFailed(read, clock(daemon));
  }

  private List<ClaimAction> serveWrite(
      Daemon daemon, ClaimAction.WritePage write, Fate fate, boolean alive) {
    PageWrite pageWrite = new PageWrite(write.slot(), write.expectedVersion(), write.page());
    if (fate == Fate.LATE) {
      lateWrites.add(pageWrite);
      return alive ? daemon.batcher.writeUncertain(clock(daemon)) : List.of();
    }
    Optional<String> version = apply(pageWrite);
    if (!alive) {
      return List.of();
    }
    if (fate == Fate.LOST) {
      return daemon.batcher.writeUncertain(clock(daemon));
    }
    return version
        .map(present -> daemon.batcher.written(present, clock(daemon)))
        .orElseGet(() -> daemon.batcher.writeConflicted(clock(daemon)));
  }

  /** An outage: the call changes nothing, and the caller knows. */
  void refuse(int which) {
    if (calls.isEmpty()) {
      return;
    }
    Call call = calls.remove(which % calls.size());
    Daemon daemon = daemons.get(call.daemon());
    if (!daemon.id.equals(call.caller())) {
      return;
    }
    act(
        call.daemon(),
        call.action() instanceof ClaimAction.ReadPage read
            ? daemon.batcher.readFailed(read, clock(daemon))
            : daemon.batcher.writeRefused(0, clock(daemon)));
  }

  void landLateWrite(int which) {
    if (!lateWrites.isEmpty()) {
      apply(lateWrites.remove(which % lateWrites.size()));
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

  private void act(int index, List<ClaimAction> actions) {
    Daemon daemon = daemons.get(index);
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.DeliverResult answer) {
        int to = Integer.parseInt(answer.claim().daemon().host().substring("host-".length()));
        network.add(new Message(to, daemon.id, answer));
      } else {
        calls.add(new Call(index, daemon.id, action));
      }
    }
  }

  private void perform(Daemon daemon, List<ClaimRequests.Step> steps, int owner) {
    for (ClaimRequests.Step step : steps) {
      if (step instanceof ClaimRequests.Step.SendClaim send) {
        network.add(new Message(owner % DAEMONS, daemon.id, send.claim()));
      } else if (step instanceof ClaimRequests.Step.Settle settle) {
        network.add(new Message(owner % DAEMONS, daemon.id, settle.settlement()));
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
    Held before = held.get(claim.keyHash());
    if (before != null && nowMillis - before.openedMillis() < SETTINGS.retentionMillis()) {
      violations.add(claim.keyHash() + " was granted to " + before.id() + " and " + claim.id());
    }
    held.put(claim.keyHash(), new Held(claim.id(), openedMillis.get(claim.id())));
    daemon.running.add(claim);
  }

  private long clock(Daemon daemon) {
    return nowMillis + daemon.clockOffsetMillis;
  }

  /** Ends all faults and lets everything run down. */
  void heal() {
    for (int round = 0; round < 400; round++) {
      landLateWrite(0);
      while (!network.isEmpty() || !calls.isEmpty()) {
        deliver(0, Fate.DELIVERED);
        serve(0, Fate.DELIVERED);
      }
      nowMillis += 20;
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        tick(daemon, 0);
      }
    }
  }
}
