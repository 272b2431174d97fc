package org.marjoramsail.command.capacity;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.configuration.ConfigurationService;

/**
 * The configuration services of a whole fleet on a virtual clock, with a virtual store.
 *
 * <p>All daemons know each other. Messages take a millisecond or two in a region and some ten
 * between regions, none is lost, and each is encoded to count its bytes.
 */
final class VirtualConfigurationFleet {

  private static final int PORT = 7_400;
  private static final long IN_REGION_MILLIS = 1;
  private static final long BETWEEN_REGIONS_MILLIS = 10;
  private static final int TWO_REGIONS_FROM = 50;

  private final VirtualTime time = new VirtualTime();
  private final VirtualStore store = new VirtualStore(time);
  private final SplittableRandom random;
  private final List<Member> members = new ArrayList<>();
  private final Map<DaemonId, ConfigurationService> services = new HashMap<>();
  private final Map<Long, Integer> inForce = new HashMap<>();
  private final Map<Class<? extends PeerMessage>, Integer> bytesByClass = new HashMap<>();
  private long messages;
  private long bytes;

  VirtualConfigurationFleet(int daemons, long seed) {
    this.random = new SplittableRandom(seed);
    for (int number = 0; number < daemons; number++) {
      members.add(member(number, daemons));
    }
    members.forEach(this::add);
  }

  VirtualTime time() {
    return time;
  }

  VirtualStore store() {
    return store;
  }

  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  /** The largest frame of a type so far; zero when none was sent. */
  int largestFrame(Class<? extends PeerMessage> type) {
    return bytesByClass.getOrDefault(type, 0);
  }

  /** How many daemons have put a revision in force. */
  int inForce(long revision) {
    return inForce.getOrDefault(revision, 0);
  }

  void start() {
    services.values().forEach(ConfigurationService::start);
  }

  /** Lets the first daemon accept a change. */
  Future<ChangeResult> accept(ConfigurationChange change) {
    return services.get(members.get(0).id()).accept(change);
  }

  /** Runs until a revision is in force everywhere, at most for a time; gives the time taken. */
  long runUntilInForce(long revision, long limitMillis) {
    long started = time.clock().millis();
    while (inForce(revision) < members.size() && time.clock().millis() - started < limitMillis) {
      time.run(1);
    }
    return time.clock().millis() - started;
  }

  private static Member member(int number, int daemons) {
    String region = daemons >= TWO_REGIONS_FROM ? TargetConfiguration.region(number) : "region-a";
    return new Member(
        new DaemonId("entry-host-" + number, 1),
        TargetConfiguration.address(number),
        PORT,
        TargetConfiguration.availabilityZone(number),
        region,
        MemberState.ALIVE);
  }

  private void add(Member member) {
    MembershipView view = new MembershipView(member, members);
    ConfigurationService service =
        new ConfigurationService(
            store,
            (to, message) -> send(member, to, message),
            () -> view,
            time.clock(),
            time.clock(),
            random.split(),
            time,
            new SimpleMeterRegistry(),
            this::applied);
    services.put(member.id(), service);
  }

  private void applied(Configuration configuration) {
    inForce.merge(configuration.revision(), 1, Integer::sum);
  }

  private void send(Member from, DaemonId to, PeerMessage message) {
    int size = new MessageCost(message).bytes();
    messages++;
    bytes += size;
    bytesByClass.merge(message.getClass(), size, Math::max);
    Member receiver =
        members.stream().filter(member -> member.id().equals(to)).findFirst().orElseThrow();
    long base = receiver.region().equals(from.region()) ? IN_REGION_MILLIS : BETWEEN_REGIONS_MILLIS;
    time.schedule(base + random.nextInt(2), () -> services.get(to).handle(from.id(), message));
  }
}
