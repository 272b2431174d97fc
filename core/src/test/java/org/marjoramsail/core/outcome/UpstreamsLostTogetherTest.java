package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Guards against a sound content that is refused since it was on several upstreams that were lost
 * together, and against a deadly one that profits from the doubt.
 */
final class UpstreamsLostTogetherTest {

  private static final int SEEDS = 20;
  private static final int SERVERS = 8;
  private static final long LOSS_AT_MILLIS = 5_000;
  private static final long END_MILLIS = 40_000;
  private static final int MAXIMUM_CRASHES = 3;

  /** Callers, servers lost together in a hundred, response time, hosts. */
  @ParameterizedTest
  @CsvSource({
    "2, 25, 50, 1", "2, 25, 1500, 1", "4, 50, 1500, 3", "16, 25, 50, 1", "16, 25, 300, 3",
    "16, 25, 1500, 1", "16, 50, 1500, 7", "64, 25, 300, 7", "64, 50, 1500, 1", "64, 75, 1500, 7",
  })
  void aSoundContentIsNotRefusedAfterItsUpstreamsAreLostTogether(
      int callers, int lostInHundred, long responseMillis, int hosts) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Fleet fleet = new Fleet(hosts, callers, responseMillis, false, seed);
      fleet.loseAt(LOSS_AT_MILLIS, SERVERS * lostInHundred / 100);
      fleet.run();

      assertThat(fleet.refused).as("refusals with seed %d", seed).isZero();
      assertThat(fleet.served).as("responses with seed %d", seed).isPositive();
      assertThat(fleet.servedAtMillis).as("last response").isGreaterThan(END_MILLIS - 5_000);
    }
  }

  /** Callers that send it at once, hosts, delay of messages between hosts. */
  @ParameterizedTest
  @CsvSource({"1, 1, 0", "1, 7, 20", "2, 1, 0", "2, 3, 20", "2, 7, 50"})
  void aDeadlyContentEndsThreeUpstreamsAtMost(int callers, int hosts, long messageMillis) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Fleet fleet = new Fleet(hosts, callers, 100, true, seed);
      fleet.messageMillis = messageMillis;
      fleet.run();

      assertThat(fleet.crashes).as("crashes with seed %d", seed).isBetween(1, MAXIMUM_CRASHES);
      assertThat(fleet.refused).as("refusals with seed %d", seed).isPositive();
    }
  }

  private record Event(long atMillis, long sequence, Runnable action) {}

  private record Host(DaemonId id, Quarantine quarantine) {}

  private static final class Server {
    private final UpstreamName name;
    private final List<Call> calls = new ArrayList<>();
    private boolean up = true;

    private Server(String name) {
      this.name = new UpstreamName(name);
    }
  }

  private record Call(Host host, RequestId request, int caller) {}

  /** Hosts whose callers send one content to servers that may crash. */
  private static final class Fleet {
    private static final long CONTENT = 7;
    private static final long RECHECK_MILLIS = 100;
    private static final long CUT_SPREAD_MILLIS = 20;
    private static final long PROOF_MILLIS = 25;
    private static final long DOWN_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 250;
    private static final long PAUSE_MILLIS = 50;

    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Host> hosts = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Random random;
    private final long responseMillis;
    private final boolean deadly;
    private long messageMillis = 10;
    private long nowMillis;
    private long sequence;
    private int served;
    private int refused;
    private int crashes;
    private long servedAtMillis;

    private Fleet(int hostCount, int callers, long responseMillis, boolean deadly, long seed) {
      this.random = new Random(seed);
      this.responseMillis = responseMillis;
      this.deadly = deadly;
      for (int host = 0; host < hostCount; host++) {
        DaemonId id = new DaemonId("host-" + host, 1);
        hosts.add(
            new Host(
                id,
                new Quarantine(
                    id.host(),
                    600_000,
                    500,
                    100,
                    QuarantineListener.NONE,
                    unused -> Optional.empty())));
      }
      for (int server = 0; server < SERVERS; server++) {
        servers.add(new Server("i-" + server));
      }
      for (int caller = 0; caller < callers; caller++) {
        int number = caller;
        at(deadly ? 0 : random.nextInt(100), () -> send(number));
      }
    }

    private void at(long delayMillis, Runnable action) {
      events.add(new Event(nowMillis + delayMillis, sequence++, action));
    }

    private void run() {
      while (!events.isEmpty() && events.peek().atMillis() <= END_MILLIS) {
        Event next = events.poll();
        nowMillis = next.atMillis();
        next.action().run();
        exchangeMessages();
      }
    }

    private void loseAt(long atMillis, int count) {
      at(atMillis, () -> List.copyOf(servers.subList(0, count)).forEach(this::crash));
    }

    private void send(int caller) {
      Host host = hosts.get(random.nextInt(hosts.size()));
      place(host, new RequestId("r" + sequence++), caller);
    }

    private void place(Host host, RequestId request, int caller) {
      Suspicion suspicion = host.quarantine().suspicion(CONTENT, nowMillis);
      List<Server> usable = servers.stream().filter(server -> server.up).toList();
      if (suspicion == Suspicion.QUARANTINED) {
        refused++;
        at(RETRY_MILLIS, () -> send(caller));
      } else if (suspicion == Suspicion.UNSETTLED || usable.isEmpty()) {
        at(RECHECK_MILLIS, () -> place(host, request, caller));
      } else {
        start(usable.get(random.nextInt(usable.size())), new Call(host, request, caller));
      }
    }

    private void start(Server server, Call call) {
      call.host().quarantine().started(server.name, call.request(), 1, CONTENT);
      call.host().quarantine().reached(server.name, nowMillis);
      server.calls.add(call);
      if (deadly) {
        at(responseMillis, () -> crashIfRunning(server, call));
      } else {
        at(responseMillis + random.nextInt(20), () -> complete(server, call));
      }
    }

    private void complete(Server server, Call call) {
      if (server.calls.remove(call)) {
        served++;
        servedAtMillis = nowMillis;
        call.host().quarantine().released(server.name, call.request(), 1);
        call.host().quarantine().completed(CONTENT, nowMillis);
        at(PAUSE_MILLIS, () -> send(call.caller()));
      }
    }

    private void crashIfRunning(Server server, Call call) {
      if (server.calls.contains(call)) {
        crashes++;
        crash(server);
      }
    }

    private void crash(Server server) {
      server.up = false;
      List<Call> cut = List.copyOf(server.calls);
      server.calls.clear();
      for (Call call : cut) {
        at(random.nextLong(CUT_SPREAD_MILLIS), () -> cut(server, call));
      }
      at(
          CUT_SPREAD_MILLIS + PROOF_MILLIS,
          () -> hosts.forEach(host -> prove(host.quarantine(), server)));
      at(DOWN_MILLIS, () -> replace(server));
    }

    private void cut(Server server, Call call) {
      call.host().quarantine().connectionLost(server.name, call.request(), 1, nowMillis);
      at(RECHECK_MILLIS, () -> place(call.host(), new RequestId("r" + sequence++), call.caller()));
    }

    private void prove(Quarantine quarantine, Server server) {
      servers.stream()
          .filter(other -> other.up)
          .forEach(other -> quarantine.reached(other.name, nowMillis));
      quarantine.connectionsRefused(server.name, nowMillis);
    }

    private void replace(Server server) {
      servers.set(servers.indexOf(server), new Server(server.name + "-again"));
    }

    private void exchangeMessages() {
      for (Host from : hosts) {
        List<CutMessage> cuts = from.quarantine().takeCutMessages();
        List<CrashReportMessage> reports = from.quarantine().takeMessages();
        for (Host to : hosts) {
          if (!to.equals(from) && !(cuts.isEmpty() && reports.isEmpty())) {
            at(messageMillis, () -> receive(from, to, cuts, reports));
          }
        }
      }
    }

    private void receive(
        Host from, Host to, List<CutMessage> cuts, List<CrashReportMessage> reports) {
      cuts.forEach(cut -> to.quarantine().handle(from.id(), cut, nowMillis));
      reports.forEach(report -> to.quarantine().handle(from.id(), report, nowMillis));
    }
  }
}
