package org.marjoramsail.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.request.OpenCall;
import org.marjoramsail.standin.load.ArrivalLog;

/** An upstream that serves, fails, rejects or is down, and records each arrival. */
final class SimulatedUpstream {

  private static final long LINK_MILLIS = 1;
  private static final long CONNECT_TIMEOUT_MILLIS = 400;
  private static final long PLAIN_MILLIS = 43;
  private static final long PREFILL_MILLIS = 90;
  private static final long TOKEN_MILLIS = 30;
  private static final long KV_LIFETIME_MILLIS = 500;
  private static final int TOKENS_BEFORE_CUT = 5;

  /** What happens to a call. */
  enum Condition {
    SERVING,
    /** Each call is rejected as not run, as by an upstream that is leaving. */
    REJECTING,
    /** Connections are refused. */
    DOWN,
    /** Connections are not answered. */
    DARK;

    boolean isReachable() {
      return this == SERVING || this == REJECTING;
    }
  }

  /** How a call fails. */
  enum FailureKind {
    /** A response that reports a failure. */
    RESPONSE,
    /** The connection is cut while the response is due; a stream is cut after its first tokens. */
    CUT,
    /** A response that the call was not run. */
    REJECTION,
    /** A response that violates the protocol. */
    MALFORMED,
    /** No response at all. */
    HANG
  }

  /** What a call asks for. */
  enum CallKind {
    PLAIN,
    PREFILL,
    DECODE
  }

  /**
   * Parameters of a call.
   *
   * @param kind what it asks for
   * @param host the host that makes it
   * @param request the request, as its caller identifies it
   * @param id the request, as the host identifies it
   * @param attempt the number of the attempt
   * @param kvHolder the prefill upstream whose KV cache a decode call fetches
   * @param firstToken the index of the first token that is asked for
   * @param tokens the length of the whole output
   * @param events receives the results
   */
  record Parameters(
      CallKind kind,
      SimulatedHost host,
      String request,
      RequestId id,
      int attempt,
      Optional<UpstreamName> kvHolder,
      int firstToken,
      int tokens,
      Consumer<LifecycleEvent> events) {}

  private static final class Call {
    private final Parameters parameters;
    private boolean closed;

    Call(Parameters parameters) {
      this.parameters = parameters;
    }

    void emit(LifecycleEvent event) {
      if (!closed && parameters.host().isRunning()) {
        parameters.events().accept(event);
      }
    }

    boolean isOpen() {
      return !closed && parameters.host().isRunning();
    }
  }

  private final UpstreamDefinition definition;
  private final int capacity;
  private final FleetSimulation simulation;
  private final RandomGenerator random;
  private final List<Call> running = new ArrayList<>();
  private Condition condition = Condition.SERVING;
  private FailureKind failureKind = FailureKind.RESPONSE;
  private double failingShare;
  private boolean discardsKvCaches;
  private final Map<RequestId, Long> kvExpiryMillis = new HashMap<>();

  /**
   * Creates an upstream that serves.
   *
   * @param capacity the maximum number of calls that run or wait in it
   */
  SimulatedUpstream(
      UpstreamDefinition definition,
      int capacity,
      FleetSimulation simulation,
      RandomGenerator random) {
    this.definition = definition;
    this.capacity = capacity;
    this.simulation = simulation;
    this.random = random;
  }

  UpstreamDefinition definition() {
    return definition;
  }

  /** Sets the share of the calls that fail, and how. */
  void failing(double share, FailureKind kind) {
    failingShare = share;
    failureKind = kind;
  }

  /** Sets whether each KV cache is discarded before a decode upstream can fetch it. */
  void discardsKvCaches(boolean discards) {
    discardsKvCaches = discards;
  }

  /** Changes the condition; an upstream that is no longer reachable cuts its calls. */
  void condition(Condition newCondition) {
    condition = newCondition;
    if (!condition.isReachable()) {
      List<Call> cut = List.copyOf(running);
      running.clear();
      cut.forEach(call -> fail(call, UpstreamFailure.CUT, LINK_MILLIS));
    }
  }

  /** Returns the number of running calls of hosts that are running. */
  int runningCalls() {
    running.removeIf(call -> !call.isOpen());
    return running.size();
  }

  OpenCall call(Parameters parameters) {
    Call call = new Call(parameters);
    if (condition.isReachable()) {
      simulation.after(LINK_MILLIS, () -> arrived(call));
    } else {
      long millis = condition == Condition.DARK ? CONNECT_TIMEOUT_MILLIS : LINK_MILLIS;
      fail(call, UpstreamFailure.CONNECT_FAILED, millis);
    }
    return () -> call.closed = true;
  }

  private void arrived(Call call) {
    if (!condition.isReachable()) {
      fail(call, UpstreamFailure.CUT, LINK_MILLIS);
      return;
    }
    boolean fails = random.nextDouble() < failingShare;
    boolean rejected = fails && failureKind == FailureKind.REJECTION;
    boolean accepted =
        condition == Condition.SERVING
            && runningCalls() < capacity
            && !rejected
            && fetchesKvCache(call.parameters);
    record(call.parameters, accepted);
    if (!accepted) {
      fail(call, UpstreamFailure.FULL, LINK_MILLIS);
    } else if (call.isOpen()) {
      running.add(call);
      start(call, fails);
    }
  }

  /** Returns whether a call can be served as far as its KV cache is concerned. */
  private boolean fetchesKvCache(Parameters parameters) {
    return parameters
        .kvHolder()
        .map(holder -> simulation.upstream(holder).takeKvCache(parameters.id()))
        .orElse(true);
  }

  private boolean takeKvCache(RequestId request) {
    Long expiryMillis = kvExpiryMillis.remove(request);
    return condition.isReachable() && expiryMillis != null && simulation.now() < expiryMillis;
  }

  private void record(Parameters parameters, boolean accepted) {
    ArrivalLog arrivals = simulation.arrivals(definition.service());
    if (parameters.kind() == CallKind.PREFILL) {
      arrivals.prefillArrived(parameters.request(), accepted, simulation.now());
    } else {
      arrivals.runArrived(parameters.request(), simulation.now());
    }
  }

  private void start(Call call, boolean fails) {
    if (fails && failureKind == FailureKind.HANG) {
      return;
    }
    switch (call.parameters.kind()) {
      case PLAIN -> finishAfter(PLAIN_MILLIS, call, fails ? failure(call) : plainResponse(call));
      case PREFILL -> finishAfter(PREFILL_MILLIS, call, fails ? failure(call) : prefilled(call));
      case DECODE -> startDecode(call, fails);
    }
  }

  private static LifecycleEvent plainResponse(Call call) {
    return new LifecycleEvent.PlainResponseReceived(call.parameters.attempt());
  }

  private LifecycleEvent prefilled(Call call) {
    long lifetimeMillis = discardsKvCaches ? 0 : KV_LIFETIME_MILLIS;
    kvExpiryMillis.put(call.parameters.id(), simulation.now() + PREFILL_MILLIS + lifetimeMillis);
    return new LifecycleEvent.Prefilled(
        call.parameters.attempt(), "kv", 1, 0, PREFILL_MILLIS, KV_LIFETIME_MILLIS);
  }

  private LifecycleEvent failure(Call call) {
    if (failureKind == FailureKind.CUT) {
      return failed(call, UpstreamFailure.CUT);
    }
    if (failureKind == FailureKind.MALFORMED) {
      return failed(call, UpstreamFailure.MALFORMED);
    }
    return call.parameters.kind() == CallKind.PREFILL
        ? failed(call, UpstreamFailure.MALFORMED)
        : new LifecycleEvent.FailureResponseReceived(call.parameters.attempt());
  }

  private void startDecode(Call call, boolean fails) {
    if (fails && failureKind != FailureKind.CUT) {
      finishAfter(TOKEN_MILLIS, call, failure(call));
      return;
    }
    if (fails) {
      finishAfter(TOKENS_BEFORE_CUT * TOKEN_MILLIS + 1, call, failure(call));
    }
    simulation.after(TOKEN_MILLIS, () -> nextToken(call, call.parameters.firstToken()));
  }

  private void nextToken(Call call, int index) {
    Parameters parameters = call.parameters;
    if (!running.contains(call)) {
      return;
    }
    if (index == parameters.tokens()) {
      running.remove(call);
      call.emit(
          new LifecycleEvent.StreamFinished(
              parameters.id(), parameters.attempt(), index, "stop", 1, 0));
      return;
    }
    call.emit(new LifecycleEvent.TokenArrived(parameters.id(), parameters.attempt(), index, "t"));
    simulation.after(TOKEN_MILLIS, () -> nextToken(call, index + 1));
  }

  private void finishAfter(long millis, Call call, LifecycleEvent result) {
    simulation.after(
        millis,
        () -> {
          if (running.remove(call)) {
            call.emit(result);
          }
        });
  }

  private void fail(Call call, UpstreamFailure failure, long afterMillis) {
    simulation.after(afterMillis, () -> call.emit(failed(call, failure)));
  }

  private LifecycleEvent failed(Call call, UpstreamFailure failure) {
    return new LifecycleEvent.UpstreamFailed(call.parameters.attempt(), definition.name(), failure);
  }
}
