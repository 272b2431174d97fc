package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.stream.StreamKey;
import org.marjoramsail.core.stream.StreamOrigin;
import org.marjoramsail.core.stream.StreamQueryMessage;
import org.marjoramsail.core.stream.StreamRecord;
import org.marjoramsail.core.stream.StreamRecordsMessage;
import org.marjoramsail.core.stream.StreamResultMessage;

/** A fleet of directories whose messages arrive after a delay, on a clock of the test. */
class StreamDirectoryTest {

  private static final int DAEMONS = 12;
  private static final long DELAY_MILLIS = 2;
  private static final long LIFETIME_MILLIS = 28_000;
  private static final StreamKey KEY = StreamKey.of("rosario", "attempt-1");
  private static final StreamOrigin ORIGIN = new StreamOrigin("lector", new SoftwareVersion("v1"));

  private record Task(long atMillis, int number, Runnable action) {}

  private final List<Task> tasks = new ArrayList<>();
  private final Map<DaemonId, StreamDirectory> directories = new HashMap<>();
  private final List<Member> members = new ArrayList<>();
  private final Set<DaemonId> silent = new HashSet<>();
  private final List<StreamLookup.Result> results = new ArrayList<>();
  private long delayOfRecordsMillis = DELAY_MILLIS;
  private long nowMillis;
  private int sequence;

  StreamDirectoryTest() {
    for (int number = 0; number < DAEMONS; number++) {
      members.add(
          new Member(
              new DaemonId("host-" + number, 1),
              "10.0.0.1",
              1,
              "zone-" + number % 3,
              "region",
              MemberState.ALIVE));
    }
    for (Member member : members) {
      StreamDirectory directory =
          new StreamDirectory(
              member.id(),
              (to, message) -> send(member.id(), to, message),
              this::schedule,
              () -> nowMillis);
      directories.put(member.id(), directory);
      directory.membersChanged(new MembershipView(member, members));
    }
  }

  /** Guards against a resumed stream whose version nobody knows once its daemon has failed. */
  @Test
  void anyDaemonFindsAStreamWhoseDaemonHasFailed() {
    directory(0).add(new StreamRecord(KEY, ORIGIN, LIFETIME_MILLIS));
    runUntil(10);
    silent.add(id(0));

    for (int number = 1; number < DAEMONS; number++) {
      directory(number).find(KEY, results::add);
    }
    runUntil(20);

    assertThat(results).hasSize(DAEMONS - 1);
    assertThat(results).allMatch(result -> result.knowledge().origin().equals(Optional.of(ORIGIN)));
  }

  /** Guards against a caller that comes back before the record of its stream has arrived. */
  @Test
  void aStreamIsFoundWhoseRecordsArriveAfterTheFirstQuery() {
    delayOfRecordsMillis = 60;
    directory(0).add(new StreamRecord(KEY, ORIGIN, LIFETIME_MILLIS));
    silent.add(id(0));

    directory(1).find(KEY, results::add);
    runUntil(200);

    assertThat(results).singleElement().matches(result -> result.knowledge().origin().isPresent());
  }

  /** Guards against a search that ends with the first daemon that has no record. */
  @Test
  void aStreamIsFoundWhileAllButOneOfTheDaemonsThatKnowItArePaused() {
    directory(0).add(new StreamRecord(KEY, ORIGIN, LIFETIME_MILLIS));
    runUntil(10);
    List<DaemonId> knowing =
        members.stream()
            .map(Member::id)
            .filter(daemon -> directories.get(daemon).size() > 0)
            .sorted()
            .toList();
    silent.addAll(knowing.subList(1, knowing.size()));

    Member asking =
        members.stream().filter(member -> !knowing.contains(member.id())).findFirst().orElseThrow();
    directories.get(asking.id()).find(KEY, results::add);
    runUntil(600);

    assertThat(results).singleElement().matches(result -> result.knowledge().origin().isPresent());
  }

  /** Guards against callers that wait to their deadline for a stream that nobody knows. */
  @Test
  void aSearchEndsOnceAllDaemonsHaveRespondedTwiceThatTheyHaveNoRecord() {
    directory(1).find(KEY, results::add);
    runUntil(99);
    assertThat(results).isEmpty();

    runUntil(110);

    assertThat(results).containsExactly(StreamLookup.Result.NONE);
    assertThat(directory(1).searches()).isZero();
  }

  /** Guards against the same where some daemons do not respond. */
  @Test
  void aSearchEndsAfterHalfASecondIfADaemonDoesNotRespond() {
    silent.addAll(members.stream().map(Member::id).skip(2).toList());

    directory(1).find(KEY, results::add);
    runUntil(499);
    assertThat(results).isEmpty();

    runUntil(500);

    assertThat(results).containsExactly(StreamLookup.Result.NONE);
  }

  /** Guards against streams that are forgotten when daemons are restarted one after the other. */
  @Test
  void aStreamStaysKnownWhileAllDaemonsAreRestartedInTurn() {
    directory(0).add(new StreamRecord(KEY, ORIGIN, LIFETIME_MILLIS));
    runUntil(10);
    for (int number = 0; number < DAEMONS; number++) {
      restart(number);
      runUntil(nowMillis + 10);
    }

    directory(0).find(KEY, results::add);
    runUntil(nowMillis + 10);

    assertThat(results).singleElement().matches(result -> result.knowledge().origin().isPresent());
  }

  private void restart(int number) {
    Member member = members.get(number);
    List<Member> others = members.stream().filter(other -> !other.equals(member)).toList();
    directory(number).membersChanged(new MembershipView(member, members));
    directory(number).handOver();
    DaemonId restarted = new DaemonId(member.id().host(), member.id().incarnation() + 1);
    Member replacement =
        new Member(
            restarted, "10.0.0.1", 1, member.availabilityZone(), "region", MemberState.ALIVE);
    runUntil(nowMillis + DELAY_MILLIS);
    directories.remove(member.id());
    directories.put(
        restarted,
        new StreamDirectory(
            restarted,
            (to, message) -> send(restarted, to, message),
            this::schedule,
            () -> nowMillis));
    members.clear();
    members.addAll(others);
    members.add(number, replacement);
    members.forEach(
        one -> directories.get(one.id()).membersChanged(new MembershipView(one, members)));
  }

  private DaemonId id(int number) {
    return members.get(number).id();
  }

  private StreamDirectory directory(int number) {
    return directories.get(id(number));
  }

  private void send(DaemonId from, DaemonId to, PeerMessage message) {
    boolean isRecord = message instanceof StreamRecordsMessage;
    schedule(isRecord ? delayOfRecordsMillis : DELAY_MILLIS, () -> deliver(from, to, message));
  }

  private void deliver(DaemonId from, DaemonId to, PeerMessage message) {
    StreamDirectory receiver = directories.get(to);
    boolean isLost = silent.contains(to) || (silent.contains(from) && !isRecord(message));
    if (receiver == null || isLost) {
      return;
    }
    if (message instanceof StreamRecordsMessage records) {
      receiver.handle(records);
    } else if (message instanceof StreamQueryMessage query) {
      receiver.handle(from, query);
    } else if (message instanceof StreamResultMessage result) {
      receiver.handle(from, result);
    }
  }

  /** Records that were sent before their sender failed still arrive. */
  private static boolean isRecord(PeerMessage message) {
    return message instanceof StreamRecordsMessage;
  }

  private void schedule(long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, sequence++, action));
  }

  private void runUntil(long untilMillis) {
    Optional<Task> next = next(untilMillis);
    while (next.isPresent()) {
      tasks.remove(next.get());
      nowMillis = Math.max(nowMillis, next.get().atMillis());
      next.get().action().run();
      next = next(untilMillis);
    }
    nowMillis = untilMillis;
  }

  private Optional<Task> next(long untilMillis) {
    return tasks.stream()
        .filter(task -> task.atMillis() <= untilMillis)
        .min(Comparator.comparingLong(Task::atMillis).thenComparingInt(Task::number));
  }
}
