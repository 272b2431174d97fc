package org.marjoramsail.command.platform;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeoutException;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.AnnouncedCloseException;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.StreamEvent;

/**
 * Callers of a soak. Each request has its time in advance, so that a busy machine delays requests
 * and leaves none out. Runs on one event loop.
 */
final class SoakLoad {

  /** Start of the last path segment of requests that crash servers. */
  static final String CRASHING = "crash-";

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long TICK_MILLIS = 2;
  private static final long CALLER_TIMEOUT_MILLIS = 4_000;

  /** Delay up to which a request counts as sent on time. */
  private static final long ON_TIME_MILLIS = 500;

  /** How often a caller resumes one stream. */
  private static final int MOST_RESUMPTIONS = 3;

  /** Bounds of the time after which a caller resumes a stream. */
  private static final int LEAST_RESUME_MILLIS = 50;

  private static final int MOST_RESUME_MILLIS = 600;

  /** Share of the streams that may be resumed, in hundredths. */
  private static final int RESUMABLE_SHARE = 50;

  /** Share of the plain requests that may be repeated, in hundredths. */
  private static final int REPEATABLE_SHARE = 30;

  /** Share of the plain requests with a long body, in hundredths. */
  private static final int LONG_SHARE = 30;

  /** Bounds of the bytes of a long body, below the limit of the configuration. */
  private static final int LEAST_LONG_BYTES = 20_000;

  private static final int MOST_LONG_BYTES = 90_000;

  private static final int HUNDRED = 100;
  private static final int NO_ROOM = 429;
  private static final int NOT_NOW = 503;

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformSoakSetup setup;
  private final PlatformStandIn platform;
  private final PlatformProcesses daemons;
  private final SoakArrivals arrivals;
  private final Random random;
  private final Random bodies;
  private final CallerStandIn caller;
  private final Map<String, KindCount> kinds = new TreeMap<>();
  private final Map<LossReason, Integer> losses = new EnumMap<>(LossReason.class);
  private final Set<String> once = new HashSet<>();
  private final Set<String> toldNotRun = new HashSet<>();
  private final ResponseJudge judge = new ResponseJudge();
  private final StreamCount streams = new StreamCount();
  private final StoreReturns storeReturns;
  private double nextAtMillis;
  private long endMillis;
  private int sequence;
  private int keptSequence;
  private int late;

  SoakLoad(
      Vertx vertx,
      Clock clock,
      PlatformSoakSetup setup,
      PlatformStandIn platform,
      PlatformProcesses daemons,
      SoakArrivals arrivals,
      Random random) {
    this.vertx = vertx;
    this.clock = clock;
    this.setup = setup;
    this.platform = platform;
    this.daemons = daemons;
    this.arrivals = arrivals;
    this.random = random;
    this.bodies = new Random(setup.seed());
    this.caller = new CallerStandIn(vertx, LoopbackPlatform.ADDRESS, clock);
    caller.onSent(this::sent);
    this.storeReturns = new StoreReturns(clock);
  }

  /** Sends requests from now on until a time. */
  void start(long untilMillis) {
    endMillis = untilMillis;
    nextAtMillis = clock.millis() + pauseMillis();
    vertx.setPeriodic(
        TICK_MILLIS,
        timer -> {
          sendDue();
          if (nextAtMillis >= endMillis) {
            vertx.cancelTimer(timer);
          }
        });
  }

  /** Returns the results of the requests by kind. */
  List<KindCount> kinds() {
    return List.copyOf(kinds.values());
  }

  /** Returns how many requests had no response, by reason. */
  Map<LossReason, Integer> losses() {
    return Map.copyOf(losses);
  }

  /** Returns which streams changed their software version, and which went on. */
  PlatformSoakReport.Streams streams() {
    return streams.result();
  }

  /** Records that the store responds again. */
  void storeReturned() {
    storeReturns.returned();
  }

  /** Returns the results of the requests soon after the store responded again. */
  PlatformSoakReport.StoreReturn storeReturn() {
    return storeReturns.result();
  }

  /** Returns the number of requests, with those that had no daemon to be sent to. */
  int requests() {
    return sequence;
  }

  /** Returns the number of requests that were sent after their time. */
  int lateRequests() {
    return late;
  }

  /** Returns whether a request may run once only. */
  boolean isOnce(String request) {
    return once.contains(request);
  }

  /** Returns the requests that may run once only and whose callers were told that they did not. */
  List<String> toldNotRun() {
    return once.stream().filter(toldNotRun::contains).toList();
  }

  private double pauseMillis() {
    double perSecond = setup.streamsPerSecond() + setup.plainPerSecond();
    return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
  }

  private void sendDue() {
    long nowMillis = clock.millis();
    while (nextAtMillis <= nowMillis && nextAtMillis < endMillis) {
      late += nowMillis - nextAtMillis > ON_TIME_MILLIS ? 1 : 0;
      send();
      nextAtMillis += pauseMillis();
    }
  }

  private void send() {
    double perSecond = setup.streamsPerSecond() + setup.plainPerSecond();
    boolean isStream = random.nextDouble() * perSecond < setup.streamsPerSecond();
    int draw = random.nextInt(HUNDRED);
    String path =
        isStream
            ? draw < RESUMABLE_SHARE ? PlatformStandIn.RESUMABLE : PlatformStandIn.STREAM
            : draw < REPEATABLE_SHARE ? PlatformStandIn.REPEATABLE : PlatformStandIn.ONCE;
    KindCount kind = kinds.computeIfAbsent(path, KindCount::new);
    String request = "soak-" + sequence++;
    kind.sent();
    if (path.equals(PlatformStandIn.ONCE) || path.equals(PlatformStandIn.STREAM)) {
      once.add(request);
    }
    List<PlatformProcesses.Entry> entries = daemons.entries();
    if (entries.isEmpty()) {
      arrivals.requested(service(path), request, "");
      lost(kind, LossReason.NO_DAEMON);
      return;
    }
    PlatformProcesses.Entry entry = entries.get(random.nextInt(entries.size()));
    Future<Answer> answer = sendTo(caller, entry, kind, path, request, bodyHeaders(isStream));
    if (path.equals(PlatformStandIn.RESUMABLE)) {
      answer.onSuccess(received -> followStream(entry, request, received));
    }
  }

  private Map<String, String> bodyHeaders(boolean isStream) {
    if (isStream || bodies.nextInt(HUNDRED) >= LONG_SHARE) {
      return Map.of();
    }
    int bytes = bodies.nextInt(LEAST_LONG_BYTES, MOST_LONG_BYTES);
    return Map.of(CallerStandIn.BODY_BYTES, Integer.toString(bytes));
  }

  private Future<Answer> sendTo(
      CallerStandIn sender,
      PlatformProcesses.Entry entry,
      KindCount kind,
      String path,
      String request,
      Map<String, String> headers) {
    arrivals.requested(service(path), request, entry.host());
    return call(sender, entry, path, request, request, headers)
        .onSuccess(received -> answered(kind, request, received))
        .onFailure(failure -> lost(kind, reasonOf(entry)));
  }

  /** Returns a caller that keeps one connection, and whose requests are judged like all others. */
  CallerStandIn keepingCaller(CallerStandIn.ClosePolicy policy) {
    CallerStandIn keeping =
        CallerStandIn.onOneConnection(vertx, LoopbackPlatform.ADDRESS, clock, policy);
    keeping.onSent(this::sent);
    return keeping;
  }

  /** Sends a request that may run once only, by a caller that keeps its connection. */
  Future<Answer> sendKept(CallerStandIn keeping, PlatformProcesses.Entry entry, String path) {
    KindCount kind = kinds.computeIfAbsent(path + " kept", KindCount::new);
    String request = "kept-" + keptSequence++;
    kind.sent();
    once.add(request);
    return sendTo(keeping, entry, kind, path, request, Map.of());
  }

  /** Sends a request whose content crashes servers to any daemon. */
  void sendCrashing(String path, String content) {
    List<PlatformProcesses.Entry> entries = daemons.entries();
    if (entries.isEmpty()) {
      return;
    }
    String request = content + "-" + sequence++;
    if (path.equals(PlatformStandIn.ONCE) || path.equals(PlatformStandIn.STREAM)) {
      once.add(request);
    }
    PlatformProcesses.Entry entry = entries.get(random.nextInt(entries.size()));
    arrivals.requested(service(path), request, entry.host());
    arrivals.crashingRequested(request, content);
    call(caller, entry, path, content, request, Map.of())
        .onSuccess(answer -> recordRefusal(request, answer));
  }

  private void sent(String request, int port) {
    arrivals.sent(request, port);
    judge.sent(request, port);
  }

  /** Returns the responses, and the requests, that broke a rule. */
  List<BrokenResponse> broken() {
    return judge.broken(platform.visits());
  }

  private static String service(String path) {
    return PlatformStandIn.isStream(path) ? PlatformStandIn.ENGINES : PlatformStandIn.DESK;
  }

  /** Resumes a stream that was broken off, as callers do, until it is whole or refused. */
  private void followStream(PlatformProcesses.Entry entry, String request, Answer answer) {
    List<StreamEvent> events = StreamEvent.in(answer.body());
    if (arrivals.isCalm(entry.host())) {
      streams.newStream(!events.isEmpty());
    }
    afterTry(request, events, answer, MOST_RESUMPTIONS);
  }

  private void afterTry(String request, List<StreamEvent> events, Answer answer, int left) {
    boolean isBroken = !answer.whole() && !events.isEmpty();
    if (isBroken && left > 0) {
      vertx.setTimer(
          LEAST_RESUME_MILLIS + random.nextInt(MOST_RESUME_MILLIS - LEAST_RESUME_MILLIS),
          fired -> resume(request, events, left));
    } else {
      streams.ended(request, events);
    }
  }

  private void resume(String request, List<StreamEvent> events, int left) {
    List<PlatformProcesses.Entry> entries = daemons.entries();
    if (entries.isEmpty()) {
      streams.ended(request, events);
      return;
    }
    PlatformProcesses.Entry entry = entries.get(random.nextInt(entries.size()));
    StreamEvent last = events.get(events.size() - 1);
    boolean isServed = platform.serving(last.version()) > 1;
    String attempt = request + "-resumed-" + left;
    arrivals.requested(PlatformStandIn.ENGINES, attempt, entry.host());
    Map<String, String> headers =
        Map.of(
            CallerStandIn.RESUMES, request, CallerStandIn.LAST_EVENT, Integer.toString(last.id()));
    call(caller, entry, PlatformStandIn.RESUMABLE, request, attempt, headers)
        .onSuccess(
            answer -> {
              List<StreamEvent> further = StreamEvent.in(answer.body());
              if (isServed && arrivals.isCalm(entry.host())) {
                streams.resumedStream(!further.isEmpty());
              }
              List<StreamEvent> all = new ArrayList<>(events);
              all.addAll(further);
              afterTry(request, all, answer, left - 1);
            })
        .onFailure(lost -> streams.ended(request, events));
  }

  private Future<Answer> call(
      CallerStandIn sender,
      PlatformProcesses.Entry entry,
      String path,
      String request,
      String attempt,
      Map<String, String> headers) {
    long sentMillis = clock.millis();
    Map<String, String> all = new HashMap<>(headers);
    all.put(CallerStandIn.ATTEMPT, attempt);
    int lastEvent = Integer.parseInt(headers.getOrDefault(CallerStandIn.LAST_EVENT, "0"));
    judge.requested(attempt, path, entry.host(), lastEvent);
    Future<Answer> answer =
        sender.call(
            entry.caller().address(),
            entry.caller().port(),
            HttpMethod.POST,
            PlatformStandIn.HOST,
            path + request,
            all);
    Future<Answer> awaited =
        untilTimeout(answer)
            .onSuccess(
                received -> {
                  judge.answered(attempt, received);
                  arrivals.gap(received.longestGapMillis());
                })
            .onComplete(result -> ended(entry, attempt, sentMillis, result));
    answer.onComplete(result -> endedAfterDeadline(attempt, awaited, result));
    if (storeReturns.isRecent()) {
      awaited.onComplete(result -> storeReturns.ended(statusOf(result)));
    }
    return awaited;
  }

  /** Fails once a caller gives up; on the event loop, as the timeout of a future may not be. */
  private Future<Answer> untilTimeout(Future<Answer> answer) {
    Promise<Answer> awaited = Promise.promise();
    long timer =
        vertx.setTimer(
            CALLER_TIMEOUT_MILLIS,
            fired -> awaited.tryFail(new TimeoutException("no response in time")));
    answer
        .onSuccess(awaited::tryComplete)
        .onFailure(awaited::tryFail)
        .onComplete(result -> vertx.cancelTimer(timer));
    return awaited.future();
  }

  private static Optional<Integer> statusOf(AsyncResult<Answer> result) {
    return Optional.ofNullable(result.result()).filter(Answer::whole).map(Answer::status);
  }

  private void endedAfterDeadline(
      String attempt, Future<Answer> awaited, AsyncResult<Answer> result) {
    boolean isWhole = result.succeeded() && result.result().whole();
    if (!isWhole && awaited.cause() instanceof TimeoutException) {
      arrivals.brokenOffAfterDeadline(attempt);
    }
  }

  private void ended(
      PlatformProcesses.Entry entry, String attempt, long sentMillis, AsyncResult<Answer> result) {
    if (result.succeeded() && result.result().whole()) {
      return;
    }
    arrivals.brokenOff(attempt, entry.host(), clock.millis() - sentMillis);
    if (result.cause() instanceof TimeoutException) {
      arrivals.gaveUp(attempt);
    } else if (result.cause() instanceof AnnouncedCloseException) {
      arrivals.unansweredBehindClose(attempt, describe(result));
    } else {
      arrivals.unanswered(attempt, describe(result));
    }
  }

  private static String describe(AsyncResult<Answer> incomplete) {
    return incomplete.failed()
        ? String.valueOf(incomplete.cause().getMessage())
        : "response broken off after " + incomplete.result().body().length() + " characters";
  }

  private LossReason reasonOf(PlatformProcesses.Entry entry) {
    return arrivals.isCalm(entry.host()) ? LossReason.DAEMON_CALM : LossReason.DAEMON_DISTURBED;
  }

  private void lost(KindCount kind, LossReason reason) {
    kind.lost();
    losses.merge(reason, 1, Integer::sum);
  }

  private void answered(KindCount kind, String request, Answer answer) {
    kind.answered(answer);
    recordRefusal(request, answer);
  }

  private void recordRefusal(String request, Answer answer) {
    if (answer.status() == NO_ROOM || answer.status() == NOT_NOW) {
      toldNotRun.add(request);
    }
  }
}
