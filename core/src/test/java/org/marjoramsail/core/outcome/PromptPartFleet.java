package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Hosts and engines on a virtual clock, with requests some of which hold a part that crashes every
 * engine which begins to generate output on it.
 */
final class PromptPartFleet {

  /**
   * Properties of a simulated fleet.
   *
   * @param hosts number of hosts
   * @param deadlyShare share of requests with a deadly part
   * @param deadlyParts number of different deadly parts
   * @param companions whether a second part comes with every deadly one
   * @param soundCrashesPerSecond crashes of engines without any cause
   * @param warmUpMillis time before the first request with a deadly part
   * @param crashLimit crashes after which a part is refused
   * @param oneAtATime whether requests with a suspected part wait for each other
   */
  record Setting(
      int hosts,
      double deadlyShare,
      int deadlyParts,
      boolean companions,
      double soundCrashesPerSecond,
      long warmUpMillis,
      int crashLimit,
      boolean oneAtATime) {}

  private static final int REQUESTS_PER_HOST_SECOND = 6;
  private static final int ENGINES_PER_HOST = 2;
  private static final int MAXIMUM_SENDS = 2;
  private static final long RUN_MILLIS = 15_000;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final long TICK_MILLIS = 200;
  private static final long RECHECK_MILLIS = 100;
  private static final long PROBE_MILLIS = 30;
  private static final int MAXIMUM_DELAY_MILLIS = 20;
  private static final int CALLERS = 20;
  private static final int SHARED_DOCUMENTS = 50;
  private static final int USES_OF_RARE_DOCUMENT = 3;

  private record Event(long atMillis, long sequence, Runnable action) {}

  private static final class Host {
    private final DaemonId id;
    private final Quarantine quarantine;

    private Host(int number, Setting setting, QuarantineListener listener) {
      this.id = new DaemonId("host-" + number, 1);
      this.quarantine =
          new Quarantine(
              id.host(),
              600_000,
              500,
              10_000,
              listener,
              unused -> Optional.empty(),
              setting.crashLimit());
    }
  }

  private static final class Engine {
    private final int number;
    private int generation;
    private boolean up = true;
    private final Set<Request> running = new LinkedHashSet<>();

    private Engine(int number) {
      this.number = number;
    }

    private UpstreamName name() {
      return new UpstreamName("engine-" + number + "-" + generation);
    }
  }

  private static final class Request {
    private final RequestId id;
    private final long content;
    private final List<SharedPromptPart> parts;
    private final int deadly;
    private final long deadlineAtMillis;
    private Host host;
    private int attempt;
    private boolean outputReceived;

    private Request(long number, List<SharedPromptPart> parts, int deadly, long deadline) {
      this.id = new RequestId("request-" + number);
      this.content = number;
      this.parts = parts;
      this.deadly = deadly;
      this.deadlineAtMillis = deadline;
    }

    private boolean isSound() {
      return deadly < 0;
    }
  }

  /** Crashes by one deadly part, and the sends of requests with it. */
  static final class DeadlyPart {
    private final List<Long> crashesAtMillis = new ArrayList<>();
    private final List<Long> sendsAtMillis = new ArrayList<>();

    private int crashesBeforeNamed = -1;

    /**
     * Returns the number of engines that it crashed, including those that ran a request with it
     * when it was first refused.
     */
    int crashes() {
      return crashesAtMillis.size();
    }

    /** Returns the number of engines that it crashed before the first host refused it. */
    int crashesBeforeNamed() {
      return crashesBeforeNamed < 0 ? crashes() : crashesBeforeNamed;
    }

    private void firstRefused() {
      crashesBeforeNamed = crashesBeforeNamed < 0 ? crashes() : crashesBeforeNamed;
    }

    /** Returns the number of sends later than three seconds after the fifth crash. */
    long lateSends() {
      return crashes() < 5
          ? 0
          : sendsAtMillis.stream().filter(at -> at > crashesAtMillis.get(4) + 3_000).count();
    }
  }

  private final Setting setting;
  private final Random random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final Map<Integer, DeadlyPart> deadlyParts = new LinkedHashMap<>();
  private long nowMillis = 1;
  private long sequence;
  private long requests;
  private long rareDocuments;
  private int sound;
  private int soundRefused;
  private int soundLate;
  private int firstPartsRefused;

  PromptPartFleet(Setting setting, long seed) {
    this.setting = setting;
    this.random = new Random(seed);
    for (int number = 0; number < setting.hosts(); number++) {
      hosts.add(new Host(number, setting, this::changed));
    }
    for (int number = 0; number < setting.hosts() * ENGINES_PER_HOST; number++) {
      engines.add(new Engine(number));
    }
    for (int part = 0; part < setting.deadlyParts(); part++) {
      deadlyParts.put(part, new DeadlyPart());
    }
  }

  List<DeadlyPart> deadlyParts() {
    return List.copyOf(deadlyParts.values());
  }

  int sound() {
    return sound;
  }

  /** Returns the number of sound requests that were refused for a part. */
  int soundRefused() {
    return soundRefused;
  }

  /** Returns the number of sound requests that gave no output in time. */
  int soundLate() {
    return soundLate;
  }

  /** Returns how often a request was refused only for its first part, which sound ones share. */
  int firstPartsRefused() {
    return firstPartsRefused;
  }

  private void changed(QuarantineChange change) {
    if (change.kind() == QuarantineChange.Kind.PART_QUARANTINED) {
      deadlyParts.forEach(
          (number, deadly) -> {
            if (change.fingerprints().contains(part("deadly-" + number).fingerprint())) {
              deadly.firstRefused();
            }
          });
    }
  }

  PromptPartFleet run() {
    arrive();
    tick();
    if (setting.soundCrashesPerSecond() > 0) {
      after(interval(setting.soundCrashesPerSecond()), this::crashWithoutCause);
    }
    while (!events.isEmpty() && nowMillis < setting.warmUpMillis() + RUN_MILLIS) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return this;
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, ++sequence, action));
  }

  private long interval(double perSecond) {
    return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
  }

  private long between(int least, int most) {
    return random.nextLong(least, most + 1L);
  }

  private static SharedPromptPart part(String id) {
    return SharedPromptPart.of("assistant", "council", id);
  }

  private void arrive() {
    double perMilli = setting.hosts() * REQUESTS_PER_HOST_SECOND / 1_000.0;
    int arrivals = (int) perMilli + (random.nextDouble() < perMilli % 1 ? 1 : 0);
    for (int arrival = 0; arrival < arrivals; arrival++) {
      Request request = request();
      request.host = hosts.get(random.nextInt(hosts.size()));
      sound += request.isSound() ? 1 : 0;
      attempt(request, -1);
    }
    after(1, this::arrive);
  }

  private Request request() {
    boolean isDeadly =
        nowMillis > setting.warmUpMillis() && random.nextDouble() < setting.deadlyShare();
    List<SharedPromptPart> parts = new ArrayList<>();
    parts.add(part("caller-" + random.nextInt(CALLERS)));
    int deadly = -1;
    if (isDeadly) {
      deadly = random.nextInt(setting.deadlyParts());
      parts.add(part("deadly-" + deadly));
      if (setting.companions()) {
        parts.add(part("companion-" + deadly));
      }
    } else if (random.nextInt(3) == 0) {
      parts.add(part("rare-" + rareDocuments++ / USES_OF_RARE_DOCUMENT));
    }
    if (random.nextBoolean()) {
      parts.add(part("document-" + random.nextInt(SHARED_DOCUMENTS)));
    }
    return new Request(++requests, parts, deadly, nowMillis + DEADLINE_MILLIS);
  }

  private void attempt(Request request, int avoidedEngine) {
    if (nowMillis > request.deadlineAtMillis) {
      soundLate += request.isSound() ? 1 : 0;
      return;
    }
    Quarantine quarantine = request.host.quarantine;
    List<SharedPromptPart> refusing = quarantine.refusingParts(request.parts, nowMillis);
    if (!refusing.isEmpty()) {
      soundRefused += request.isSound() ? 1 : 0;
      firstPartsRefused += refusing.equals(request.parts.subList(0, 1)) ? 1 : 0;
      return;
    }
    boolean waits = setting.oneAtATime() && quarantine.isPartOnTrial(request.parts, nowMillis);
    Engine engine = engines.get(random.nextInt(engines.size()));
    if (waits || !engine.up || engine.number == avoidedEngine) {
      after(waits ? RECHECK_MILLIS : 5, () -> attempt(request, avoidedEngine));
      return;
    }
    send(request, engine);
  }

  private void send(Request request, Engine engine) {
    request.attempt++;
    if (!request.isSound()) {
      deadlyParts.get(request.deadly).sendsAtMillis.add(nowMillis);
    }
    UpstreamName name = engine.name();
    Quarantine quarantine = request.host.quarantine;
    quarantine.incarnation(name, 1, nowMillis, nowMillis);
    quarantine.started(name, request.id, request.attempt, request.content, request.parts);
    quarantine.reached(name, nowMillis);
    engine.running.add(request);
    int generation = engine.generation;
    after(between(50, 250), () -> beginOutput(request, engine, generation));
  }

  private void beginOutput(Request request, Engine engine, int generation) {
    if (engine.generation != generation || !engine.up) {
      return;
    }
    if (request.isSound()) {
      request.outputReceived = true;
      request.host.quarantine.outputReceived(engine.name(), request.id, request.attempt, nowMillis);
      after(between(500, 2_000), () -> complete(request, engine, generation));
    } else {
      deadlyParts.get(request.deadly).crashesAtMillis.add(nowMillis);
      crash(engine);
    }
  }

  private void complete(Request request, Engine engine, int generation) {
    if (engine.generation == generation && engine.up) {
      engine.running.remove(request);
      request.host.quarantine.released(engine.name(), request.id, request.attempt);
      request.host.quarantine.completed(request.content, nowMillis);
    }
  }

  private void crashWithoutCause() {
    Engine engine = engines.get(random.nextInt(engines.size()));
    if (engine.up) {
      crash(engine);
    }
    after(interval(setting.soundCrashesPerSecond()), this::crashWithoutCause);
  }

  private void crash(Engine engine) {
    engine.up = false;
    UpstreamName name = engine.name();
    Set<Host> cut = new LinkedHashSet<>();
    for (Request request : List.copyOf(engine.running)) {
      request.host.quarantine.connectionLost(name, request.id, request.attempt, nowMillis);
      cut.add(request.host);
      if (request.outputReceived || request.attempt >= MAXIMUM_SENDS) {
        continue;
      }
      after(between(100, 200), () -> attempt(request, engine.number));
    }
    engine.running.clear();
    cut.forEach(this::sendNew);
    cut.forEach(host -> after(PROBE_MILLIS + random.nextInt(20), () -> prove(host, name)));
    after(
        between(2_000, 4_000),
        () -> {
          engine.generation++;
          engine.up = true;
        });
  }

  private void prove(Host host, UpstreamName crashed) {
    engines.stream()
        .filter(engine -> engine.up)
        .limit(2)
        .forEach(engine -> host.quarantine.reached(engine.name(), nowMillis));
    host.quarantine.connectionsRefused(crashed, nowMillis);
    sendNew(host);
  }

  private void tick() {
    hosts.forEach(this::sendNew);
    after(TICK_MILLIS, this::tick);
  }

  private void sendNew(Host from) {
    List<PeerMessage> messages = new ArrayList<>(from.quarantine.takeCutMessages());
    messages.addAll(from.quarantine.takePartMessages());
    messages.addAll(from.quarantine.takeMessages());
    for (PeerMessage message : messages) {
      for (Host to : hosts) {
        if (to != from) {
          after(between(1, MAXIMUM_DELAY_MILLIS), () -> receive(from, to, message));
        }
      }
    }
  }

  private void receive(Host from, Host to, PeerMessage message) {
    if (message instanceof CutMessage cut) {
      to.quarantine.handle(from.id, cut, nowMillis);
    } else if (message instanceof CrashReportMessage report) {
      to.quarantine.handle(from.id, report, nowMillis);
    } else if (message instanceof PartCrashMessage crash) {
      to.quarantine
          .handle(from.id, crash, nowMillis)
          .ifPresent(
              reply -> after(between(1, MAXIMUM_DELAY_MILLIS), () -> receive(to, from, reply)));
    } else {
      to.quarantine.handle(from.id, (PartClearanceMessage) message, nowMillis);
      sendNew(to);
    }
  }
}
