package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;

/**
 * Simulation of upstreams, a network and callers around actual lifecycles and an actual quarantine.
 *
 * <p>Each message is in flight until a step delivers, repeats or loses it. The upstreams record
 * what actually ran and what is actually held, which the lifecycles cannot observe.
 */
final class FuzzedWorld {

  static final int STEPS = 16;
  private static final int MAXIMUM_REQUESTS = 4;
  private static final int TOKENS = 4;
  private static final int RETRIES = 20;
  private static final int KV_LIFETIME_MILLIS = 800;
  private static final long POISON = 666;
  private static final List<Repeatability> REPEATABILITIES = List.of(Repeatability.values());

  /** A message in flight: a call with its upstream, or a response. */
  private record Message(FuzzedRequest request, Optional<Call> call, Runnable arrive) {}

  private record Call(FuzzedUpstream upstream, int attempt, boolean cancel) {}

  private final List<FuzzedUpstream> prefills = List.of(up("p0"), up("p1"));
  private final List<FuzzedUpstream> decodes = List.of(up("d0"), up("d1"), up("d2"), up("d3"));
  private final List<FuzzedUpstream> plains = List.of(up("s0"), up("s1"), up("s2"), up("s3"));
  private final List<FuzzedRequest> requests = new ArrayList<>();
  private final List<Message> network = new ArrayList<>();
  private final Quarantine quarantine = new Quarantine(600_000, 2_000, 50, QuarantineListener.NONE);
  private final Invariants invariants = new Invariants(Invariants.Mode.THROW);
  private final boolean randomCrashes;
  private long nowMillis = 1_000;
  private int retriesLeft = RETRIES;
  private int poisonCrashes;

  FuzzedWorld(boolean randomCrashes) {
    this.randomCrashes = randomCrashes;
    submit(0);
  }

  private static FuzzedUpstream up(String name) {
    return new FuzzedUpstream(name);
  }

  private Stream<FuzzedUpstream> upstreams() {
    return Stream.of(prefills, decodes, plains).flatMap(List::stream);
  }

  /** Performs one step; {@code detail} chooses among its variants. */
  void step(int kind, int detail) {
    switch (kind) {
      case 0, 1, 2, 3 -> deliver(0);
      case 4 -> deliver(detail);
      case 5, 6, 7 -> generate(detail);
      case 8 -> repeat(detail);
      case 9 -> lose(detail);
      case 10 -> refuseOrLose(detail);
      case 11 -> crashRandomly(detail);
      case 12 -> advance(detail % 50);
      case 13 -> advance(detail % 20_000);
      case 14 -> callerDisconnected(detail);
      default -> submit(detail);
    }
  }

  /** Lets everything end without further faults, and checks the result. */
  void finish() {
    for (int round = 0; round < 5_000 && !isIdle(); round++) {
      while (!network.isEmpty()) {
        deliver(0);
      }
      upstreams()
          .toList()
          .forEach(upstream -> List.copyOf(upstream.held.values()).forEach(this::work));
      if (network.isEmpty()) {
        advance(100);
      }
    }
    requests.forEach(FuzzedRequest::checkWhenSettled);
    upstreams()
        .forEach(upstream -> assertThat(upstream.held).as("held on " + upstream.name).isEmpty());
    assertThat(poisonCrashes).as("upstreams crashed by one content").isLessThanOrEqualTo(2);
    if (!randomCrashes) {
      assertThat(requests).noneMatch(request -> request.isQuarantined() && !request.poisonous);
    }
  }

  private boolean isIdle() {
    return network.isEmpty()
        && requests.stream().allMatch(request -> request.lifecycle.isSettled());
  }

  private void submit(int detail) {
    boolean poisonRuns =
        requests.stream().anyMatch(one -> one.poisonous && one.finalResponses.isEmpty());
    if (requests.size() >= MAXIMUM_REQUESTS) {
      return;
    }
    boolean poisonous = detail % 5 == 4 && !poisonRuns;
    Repeatability repeatability = REPEATABILITIES.get(detail / 5 % 3);
    boolean generation = detail / 15 % 4 != 3;
    RequestProfile profile =
        new RequestProfile(
            new RequestId("q" + requests.size()),
            new DaemonId("e", 1),
            "s",
            "o",
            "r",
            ServiceClass.STANDARD,
            repeatability,
            generation,
            detail / 60 % 2 == 1,
            generation ? 8 : 0,
            generation ? TOKENS : 0,
            List.of(),
            poisonous ? POISON : requests.size(),
            nowMillis,
            nowMillis + 500,
            nowMillis + 30_000);
    LifecyclePolicy policy = new LifecyclePolicy(5, 20, 200, 50, 400, 600_000, 100, 3_000, 3_000);
    FuzzedRequest request =
        new FuzzedRequest(
            new RequestLifecycle(
                profile, policy, quarantine, invariants, new SplittableRandom(detail)),
            poisonous);
    requests.add(request);
    handle(request, new LifecycleEvent.Started());
  }

  private void deliver(int detail) {
    if (!network.isEmpty()) {
      network.remove(detail % network.size()).arrive().run();
    }
  }

  /** Delivers a response twice; calls are not repeated, since each is one connection. */
  private void repeat(int detail) {
    pick(network, message -> message.call().isEmpty(), detail).ifPresent(one -> one.arrive().run());
  }

  /** Loses a cancel, or lets a call fail to connect or be cut before it arrives. */
  private void lose(int detail) {
    pick(network, message -> message.call().isPresent(), detail)
        .ifPresent(
            message -> {
              network.remove(message);
              Call call = message.call().orElseThrow();
              if (!call.cancel()) {
                fail(
                    message.request(),
                    call,
                    detail % 2 == 0 ? UpstreamFailure.CONNECT_FAILED : UpstreamFailure.CUT);
              }
            });
  }

  /** Refuses a call, or cuts a running attempt while the upstream continues. */
  private void refuseOrLose(int detail) {
    Optional<Message> sent =
        pick(network, one -> one.call().filter(call -> !call.cancel()).isPresent(), detail);
    if (sent.isPresent() && detail % 2 == 0) {
      network.remove(sent.get());
      List<UpstreamFailure> ways =
          List.of(
              UpstreamFailure.REFUSED, UpstreamFailure.LEAVING, UpstreamFailure.TRANSFER_FAILED);
      fail(
          sent.get().request(),
          sent.get().call().orElseThrow(),
          ways.get(detail / 2 % ways.size()));
      return;
    }
    FuzzedUpstream upstream = decodes.get(detail % decodes.size());
    pick(List.copyOf(upstream.held.values()), work -> true, detail)
        .ifPresent(
            work ->
                fail(work.request, new Call(upstream, work.attempt, false), UpstreamFailure.CUT));
  }

  private void fail(FuzzedRequest request, Call call, UpstreamFailure failure) {
    handle(
        request, new LifecycleEvent.UpstreamFailed(call.attempt(), call.upstream().name, failure));
  }

  private void crashRandomly(int detail) {
    if (randomCrashes) {
      List<FuzzedUpstream> all = upstreams().toList();
      crash(all.get(detail % all.size()), detail);
    }
  }

  /**
   * Crashes an upstream: all its state is lost, its connections are cut, and a poll finds the new
   * incarnation.
   */
  private void crash(FuzzedUpstream upstream, int detail) {
    quarantine.incarnation(upstream.name, upstream.incarnation, 0, nowMillis);
    List<FuzzedUpstream.Work> lost = List.copyOf(upstream.held.values());
    upstream.crash();
    List<Message> calls =
        network.stream()
            .filter(one -> one.call().filter(call -> call.upstream() == upstream).isPresent())
            .toList();
    network.removeAll(calls);
    if (detail % 2 == 0) {
      poll(upstream);
    }
    lost.forEach(
        work -> fail(work.request, new Call(upstream, work.attempt, false), UpstreamFailure.CUT));
    calls.stream()
        .filter(one -> !one.call().orElseThrow().cancel())
        .forEach(one -> fail(one.request(), one.call().orElseThrow(), UpstreamFailure.CUT));
    poll(upstream);
  }

  private void poll(FuzzedUpstream upstream) {
    if (quarantine.incarnation(upstream.name, upstream.incarnation, nowMillis, nowMillis)) {
      List.copyOf(requests)
          .forEach(one -> handle(one, new LifecycleEvent.UpstreamRestarted(upstream.name)));
    }
  }

  private void advance(long millis) {
    nowMillis += millis;
    upstreams().forEach(upstream -> upstream.expire(nowMillis));
    for (FuzzedRequest request : List.copyOf(requests)) {
      if (request.lifecycle.nextWakeMillis().filter(due -> due <= nowMillis).isPresent()) {
        handle(request, new LifecycleEvent.TimePassed());
      }
    }
  }

  private void callerDisconnected(int detail) {
    FuzzedRequest request = requests.get(detail % requests.size());
    if (request.finalResponses.isEmpty()) {
      request.callerDisconnected = true;
      handle(request, new LifecycleEvent.CallerDisconnected());
    }
  }

  private void generate(int detail) {
    FuzzedUpstream upstream = decodes.get(detail % decodes.size());
    pick(List.copyOf(upstream.held.values()), work -> true, detail / 8).ifPresent(this::work);
  }

  /** Lets an engine generate one token, or the end after the last one. */
  private void work(FuzzedUpstream.Work work) {
    if (work.kv) {
      return;
    }
    FuzzedRequest request = work.request;
    int index = work.nextIndex;
    work.nextIndex++;
    if (index < TOKENS) {
      LifecycleEvent token =
          new LifecycleEvent.TokenArrived(
              request.id(), work.attempt, index, request.expectedToken(index));
      send(request, () -> handleInAll(request, token));
    } else {
      decodes.forEach(
          upstream ->
              upstream
                  .find(request.id(), work.attempt)
                  .filter(found -> found == work)
                  .ifPresent(found -> upstream.drop(request.id(), work.attempt)));
      LifecycleEvent end =
          new LifecycleEvent.StreamFinished(request.id(), work.attempt, TOKENS, "stop", 8, 0);
      send(request, () -> handle(request, end));
    }
  }

  /** Delivers a frame to all requests; those that it does not belong to must drop it. */
  private void handleInAll(FuzzedRequest owner, LifecycleEvent token) {
    List.copyOf(requests).stream().filter(one -> one != owner).forEach(one -> handle(one, token));
    handle(owner, token);
  }

  private void handle(FuzzedRequest request, LifecycleEvent event) {
    for (LifecycleAction action : request.lifecycle.handle(event, nowMillis)) {
      request.observe(action);
      act(request, action);
    }
  }

  private void act(FuzzedRequest request, LifecycleAction action) {
    if (action instanceof LifecycleAction.Place place) {
      place(request, place.request());
    } else if (action instanceof LifecycleAction.Withdraw) {
      request.waitingAttempt = 0;
    } else if (action instanceof LifecycleAction.RecordClaim) {
      send(request, () -> handle(request, new LifecycleEvent.ClaimRecorded()));
    } else if (action instanceof LifecycleAction.SendPrefill send) {
      FuzzedUpstream upstream = find(send.upstream());
      call(request, upstream, send.attempt(), () -> prefill(request, upstream, send.attempt()));
    } else if (action instanceof LifecycleAction.SendDecode send) {
      FuzzedUpstream upstream = find(send.upstream());
      call(request, upstream, send.attempt(), () -> decode(request, upstream, send));
    } else if (action instanceof LifecycleAction.SendPlain send) {
      FuzzedUpstream upstream = find(send.upstream());
      call(request, upstream, send.attempt(), () -> plain(request, upstream, send.attempt()));
    } else if (action instanceof LifecycleAction.CloseAttempt close) {
      network.removeIf(
          one ->
              one.request() == request
                  && one.call()
                      .filter(call -> call.attempt() == close.attempt())
                      .filter(call -> plains.contains(call.upstream()))
                      .isPresent());
    } else if (action instanceof LifecycleAction.Cancel cancel) {
      FuzzedUpstream upstream = find(cancel.upstream());
      Call call = new Call(upstream, cancel.attempt(), true);
      network.add(
          new Message(
              request, Optional.of(call), () -> cancel(request, upstream, cancel.attempt())));
    }
  }

  private void place(FuzzedRequest request, PlacementRequest wanted) {
    request.waitingAttempt = wanted.attempt();
    int turn = requests.indexOf(request) + wanted.attempt();
    if (request.lifecycle.profile().fingerprint() % 7 == 5 && wanted.attempt() > 1) {
      refusePlacement(request, wanted, RefusalReason.QUEUE_FULL);
      return;
    }
    retriesLeft -= wanted.priorCalls().repeatedBy(wanted.isGeneration());
    if (retriesLeft < 0) {
      refusePlacement(request, wanted, RefusalReason.RETRIES_EXHAUSTED);
      return;
    }
    GrantMode mode =
        !wanted.isGeneration()
            ? GrantMode.PLAIN
            : turn % 3 == 0 ? GrantMode.LOCAL_PREFILL : GrantMode.DISAGGREGATED;
    List<FuzzedUpstream> candidates = mode == GrantMode.PLAIN ? plains : decodes;
    Optional<FuzzedUpstream> target =
        wanted.alone()
            ? isolatedTarget(request, wanted, candidates)
            : Optional.of(candidates.get(turn % 4));
    if (target.isEmpty()) {
      refusePlacement(request, wanted, RefusalReason.NO_UPSTREAM);
      return;
    }
    request.reservedAlone = wanted.alone() ? target : Optional.empty();
    Optional<UpstreamName> prefill =
        mode.isTransferring()
            ? wanted.kvHeldBy().or(() -> Optional.of(prefills.get(turn % prefills.size()).name))
            : Optional.empty();
    LifecycleEvent granted =
        new LifecycleEvent.Granted(
            new Grant(request.id(), wanted.attempt(), mode, prefill, target.get().name, 50, 20));
    send(request, () -> placed(request, wanted.attempt(), granted, true));
  }

  private void refusePlacement(
      FuzzedRequest request, PlacementRequest wanted, RefusalReason reason) {
    LifecycleEvent refused =
        new LifecycleEvent.PlacementRefused(wanted.attempt(), FuzzedRequest.notRun(reason));
    send(request, () -> placed(request, wanted.attempt(), refused, false));
  }

  /**
   * Places a suspect as placement does: on an upstream that is neither to be avoided nor reserved
   * for another suspect.
   */
  private Optional<FuzzedUpstream> isolatedTarget(
      FuzzedRequest request, PlacementRequest wanted, List<FuzzedUpstream> candidates) {
    return IntStream.range(0, candidates.size())
        .mapToObj(
            offset -> candidates.get((requests.indexOf(request) + offset) % candidates.size()))
        .filter(upstream -> !wanted.avoid().contains(upstream.name))
        .filter(
            upstream ->
                requests.stream().noneMatch(one -> one != request && one.isReservedAlone(upstream)))
        .findFirst();
  }

  private void placed(FuzzedRequest request, int attempt, LifecycleEvent event, boolean granted) {
    if (request.waitingAttempt == attempt) {
      request.waitingAttempt = 0;
      if (granted) {
        request.granted.add(attempt);
      }
    }
    handle(request, event);
  }

  private void prefill(FuzzedRequest request, FuzzedUpstream upstream, int attempt) {
    FuzzedUpstream.Work work = new FuzzedUpstream.Work(request, attempt, true, 0);
    upstream.hold(work);
    LifecycleEvent done = new LifecycleEvent.Prefilled(attempt, "kv", 8, 0, 5, KV_LIFETIME_MILLIS);
    send(
        request,
        () -> {
          work.setExpiry(nowMillis + KV_LIFETIME_MILLIS);
          handle(request, done);
        });
  }

  private void decode(
      FuzzedRequest request, FuzzedUpstream upstream, LifecycleAction.SendDecode send) {
    if (send.kv().isPresent()) {
      KvSource kv = send.kv().get();
      FuzzedUpstream holder = find(kv.holder());
      if (holder.find(request.id(), kv.attempt()).isEmpty()) {
        fail(request, new Call(upstream, send.attempt(), false), UpstreamFailure.KV_EXPIRED);
        return;
      }
      holder.drop(request.id(), kv.attempt());
    }
    request.recordRun();
    upstream.hold(new FuzzedUpstream.Work(request, send.attempt(), false, send.startIndex()));
    crashIfPoisonous(request, upstream);
  }

  private void plain(FuzzedRequest request, FuzzedUpstream upstream, int attempt) {
    request.recordRun();
    if (request.poisonous) {
      upstream.hold(new FuzzedUpstream.Work(request, attempt, true, 0));
      crashIfPoisonous(request, upstream);
      return;
    }
    LifecycleEvent response = new LifecycleEvent.PlainResponseReceived(attempt);
    send(request, () -> handle(request, response));
  }

  private void crashIfPoisonous(FuzzedRequest request, FuzzedUpstream upstream) {
    if (request.poisonous) {
      poisonCrashes++;
      crash(upstream, poisonCrashes);
    }
  }

  private void cancel(FuzzedRequest request, FuzzedUpstream upstream, int attempt) {
    upstream.cancel(request.id(), attempt);
    send(
        request, () -> handle(request, new LifecycleEvent.CancelConfirmed(attempt, upstream.name)));
  }

  /** Sends a call; an attempt that was cancelled before it arrives is refused. */
  private void call(FuzzedRequest request, FuzzedUpstream upstream, int attempt, Runnable work) {
    Call call = new Call(upstream, attempt, false);
    Runnable arrive =
        () -> {
          if (upstream.accepts(request.id(), attempt)) {
            work.run();
          } else {
            fail(request, call, UpstreamFailure.REFUSED);
          }
        };
    network.add(new Message(request, Optional.of(call), arrive));
  }

  private void send(FuzzedRequest request, Runnable arrive) {
    network.add(new Message(request, Optional.empty(), arrive));
  }

  private FuzzedUpstream find(UpstreamName name) {
    return upstreams().filter(upstream -> upstream.name.equals(name)).findFirst().orElseThrow();
  }

  private static <T> Optional<T> pick(List<T> from, Predicate<T> wanted, int detail) {
    List<T> matching = from.stream().filter(wanted).toList();
    return matching.isEmpty()
        ? Optional.empty()
        : Optional.of(matching.get(detail % matching.size()));
  }
}
