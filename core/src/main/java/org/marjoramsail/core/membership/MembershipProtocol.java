package org.marjoramsail.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.membership.MembershipAction.Changed;
import org.marjoramsail.core.membership.MembershipAction.Send;
import org.marjoramsail.core.membership.MembershipAction.SendToAddress;
import org.marjoramsail.core.membership.ProbeSchedule.Probe;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * Failure detector of the daemons, based on SWIM, with suspicion, refutation and dissemination of
 * updates by the pings.
 *
 * <p>Each call receives the current time in milliseconds and returns the actions to perform. Calls
 * must not overlap; the I/O layer holds a lock.
 */
public final class MembershipProtocol {

  /** Mean number of daemons that ping a suspect in a period, independent of the fleet size. */
  private static final double PINGS_PER_SUSPECT = 8;

  private static final int URGENT_PINGS = 3;

  /** Number of daemons that are notified of a new suspicion at the next tick. */
  private static final int SUSPICION_PINGS = 2;

  private static final double OTHER_REGION_DIGEST_SHARE = 0.25;
  private static final long REMOVAL_PERIOD_MILLIS = 10_000;
  private static final long UNKNOWN_SENDER_DIGEST_MILLIS = 500;

  private final MembershipSettings settings;
  private final FleetAddresses addresses;
  private final RandomGenerator random;
  private final MemberTable table;
  private final Dissemination dissemination = new Dissemination();
  private final ProbeSchedule probes;
  private final RegionReachability regions;
  private final RelayedPings relays = new RelayedPings();
  private final MembershipCounts counts = new MembershipCounts();

  private List<MembershipAction> actions = new ArrayList<>();
  private boolean changed;
  private boolean hasNewSuspicions;
  private Optional<DaemonId> successor = Optional.empty();
  private long sequence;
  private long lastTickMillis;
  private long expectedPauseMillis = MembershipSettings.TICK_MILLIS;
  private long nextProbeMillis;
  private long nextSeedMillis;
  private long nextDigestMillis;
  private long nextRemovalMillis;
  private long nextUnknownSenderDigestMillis;

  /**
   * Creates a failure detector that has received no updates of other daemons.
   *
   * @param self this incarnation: alive, staying and with version zero
   * @param seeds addresses to contact at the start; may contain stale addresses and the own one
   */
  public MembershipProtocol(
      MembershipSettings settings,
      MemberUpdate self,
      List<PeerAddress> seeds,
      RandomGenerator random,
      long nowMillis) {
    this.settings = settings;
    this.addresses = new FleetAddresses(seeds);
    this.random = random;
    this.table = new MemberTable(self, nowMillis);
    this.probes = new ProbeSchedule(random);
    this.regions = new RegionReachability(settings);
    this.lastTickMillis = nowMillis;
    this.nextProbeMillis = nowMillis + random.nextLong(settings.probePeriodMillis());
    this.nextSeedMillis = nowMillis;
    this.nextDigestMillis = nowMillis + random.nextLong(settings.digestPeriodMillis());
    this.nextRemovalMillis = nowMillis + REMOVAL_PERIOD_MILLIS;
    this.nextUnknownSenderDigestMillis = nowMillis;
    this.changed = unknownHosts() > 0;
    dissemination.add(self);
  }

  /** Returns the current view. */
  public MembershipView view() {
    return table.view(
        regions::isReachable, unknownHosts(), removedHosts(), addresses.isFleetKnown(table));
  }

  /** Returns the address of an incarnation, if it is the newest one known on its host. */
  public Optional<PeerAddress> addressOf(DaemonId daemon) {
    return table.find(daemon).map(entry -> entry.update().listening());
  }

  /** Returns the observed state of the newest incarnation on a host, if it is known. */
  public Optional<MemberState> stateOf(String host) {
    return table.find(host).map(entry -> entry.state(regions.isReachable(entry.update().region())));
  }

  /** Returns the counters since the start. */
  public MembershipStatistics statistics() {
    return counts.statistics();
  }

  /** Returns a later incarnation on the own host, if one is known; this one should stop then. */
  public Optional<DaemonId> successor() {
    return successor;
  }

  /**
   * Sets the addresses of the platform's host list, which may lag. They are used like seeds, and
   * tell the size of the fleet.
   */
  public void hostList(List<PeerAddress> listed) {
    hostList(listed, true);
  }

  /**
   * Sets the addresses of a host list.
   *
   * @param isComplete whether the list has all hosts; otherwise the seeds count as hosts as well
   */
  public void hostList(List<PeerAddress> listed, boolean isComplete) {
    int unknownBefore = unknownHosts();
    int removedBefore = removedHosts();
    addresses.hostList(listed, isComplete);
    changed |= unknownHosts() != unknownBefore || removedHosts() != removedBefore;
  }

  private int removedHosts() {
    return addresses.removedHosts(table);
  }

  private int unknownHosts() {
    return addresses.unknownHosts(table);
  }

  /** Returns the actions that are due; to be called after each {@link #pauseMillis}. */
  public List<MembershipAction> tick(long nowMillis) {
    long lateMillis = nowMillis - lastTickMillis - expectedPauseMillis;
    if (lateMillis > settings.lateTickMillis() - MembershipSettings.TICK_MILLIS) {
      resumeAfterPause(nowMillis);
    }
    probe(nowMillis);
    expireSuspicions(nowMillis);
    spreadSuspicions();
    pingOtherRegions(nowMillis);
    pingSeed(nowMillis);
    compareDigests(nowMillis);
    removeInactive(nowMillis);
    lastTickMillis = nowMillis;
    expectedPauseMillis = pauseMillis(nowMillis);
    return takeActions();
  }

  /**
   * Returns the time until {@link #tick} has to be called again, in milliseconds.
   *
   * <p>While a response is pending or a daemon is suspected, short timeouts have to be checked;
   * otherwise nothing is due before the next ping.
   */
  public long pauseMillis(long nowMillis) {
    if (probes.current().isPresent() || table.hasSuspects()) {
      return MembershipSettings.TICK_MILLIS;
    }
    return Math.max(1, nextProbeMillis - nowMillis);
  }

  /** Handles a message of an authenticated sender. */
  public List<MembershipAction> receive(DaemonId from, PeerMessage message, long nowMillis) {
    recordContact(from, nowMillis);
    if (message instanceof PingMessage ping) {
      applyUpdates(ping.updates(), from, nowMillis);
      acknowledge(from, ping);
    } else if (message instanceof AckMessage ack) {
      applyUpdates(ack.updates(), from, nowMillis);
      handleAck(ack.sequence());
    } else if (message instanceof PingRequestMessage request) {
      applyUpdates(request.updates(), from, nowMillis);
      relay(from, request);
    } else if (message instanceof DigestMessage digest) {
      applyUpdates(digest.updates(), from, nowMillis);
      sendDifference(from, digest);
    } else if (message instanceof StateMessage state) {
      applyUpdates(state.members(), from, nowMillis);
      if (state.answerWanted()) {
        send(from, new StateMessage(state.buckets(), table.inBuckets(state.buckets()), false));
      }
    }
    requestStateOfUnknownSender(from, nowMillis);
    return takeActions();
  }

  /** Announces that this daemon is leaving and takes over no shards. */
  public List<MembershipAction> leave(long nowMillis) {
    return announceDeparture(Departure.LEAVING, URGENT_PINGS, nowMillis);
  }

  /** Announces that this daemon has left; the I/O layer stops after sending the messages. */
  public List<MembershipAction> markLeft(long nowMillis) {
    return announceDeparture(
        Departure.LEFT, settings.transmissions(table.activeCount()), nowMillis);
  }

  private List<MembershipAction> announceDeparture(Departure departure, int pings, long nowMillis) {
    adopt(table.self().withDeparture(departure, nowMillis));
    pingRandomMembers(pings);
    return takeActions();
  }

  private List<MembershipAction> takeActions() {
    if (changed) {
      changed = false;
      actions.add(new Changed(view()));
    }
    List<MembershipAction> finished = actions;
    actions = new ArrayList<>();
    return finished;
  }

  /**
   * Guards against false suspicions after a pause of this process: all timers have expired,
   * although the responses are still unread. So the pending probe is dropped and the timeout of
   * each suspicion is restarted.
   */
  private void resumeAfterPause(long nowMillis) {
    counts.pauses++;
    probes.end();
    relays.clear();
    regions.reset();
    nextProbeMillis = nowMillis;
    for (MemberEntry suspect : table.suspects()) {
      table.put(suspect.withChangeTime(nowMillis));
    }
    pingRandomMembers(URGENT_PINGS);
  }

  private void probe(long nowMillis) {
    if (probes.current().isPresent()) {
      checkProbe(probes.current().get(), nowMillis);
    }
    if (nowMillis < nextProbeMillis) {
      return;
    }
    nextProbeMillis = Math.max(nextProbeMillis + settings.probePeriodMillis(), nowMillis);
    pingSuspects();
    probes.next(table).ifPresent(target -> beginProbe(target, nowMillis));
  }

  private void beginProbe(MemberEntry target, long nowMillis) {
    counts.probes++;
    long number = ++sequence;
    probes.begin(new Probe(target.id(), target.update().version(), number, nowMillis, false));
    send(target.id(), new PingMessage(number, updatesFor(target)));
  }

  private void checkProbe(Probe probe, long nowMillis) {
    long waitedMillis = nowMillis - probe.startedMillis();
    if (waitedMillis >= settings.probePeriodMillis()) {
      probes.end();
      counts.failedProbes++;
      suspect(probe, nowMillis);
    } else if (waitedMillis >= settings.ackTimeoutMillis() && !probe.indirect()) {
      probes.begin(probe.asIndirect());
      for (MemberEntry helper : helpers(probe.target())) {
        send(
            helper.id(),
            new PingRequestMessage(probe.sequence(), probe.target(), updatesFor(helper)));
      }
    }
  }

  /** Selects other daemons of the own region, preferably on other paths: in other zones. */
  private List<MemberEntry> helpers(DaemonId target) {
    List<MemberEntry> otherZones = new ArrayList<>();
    List<MemberEntry> sameZone = new ArrayList<>();
    String ownZone = table.self().update().availabilityZone();
    List<String> hosts = table.reachableIn(table.self().update().region());
    int samples = Math.min(hosts.size(), settings.indirectProbes() * 4);
    Set<String> sampled = new LinkedHashSet<>();
    for (int sample = 0; sample < samples; sample++) {
      sampled.add(hosts.get(random.nextInt(hosts.size())));
    }
    sampled.remove(target.host());
    for (String host : sampled) {
      MemberEntry entry = table.find(host).orElseThrow();
      boolean other = !entry.update().availabilityZone().equals(ownZone);
      (other ? otherZones : sameZone).add(entry);
    }
    otherZones.addAll(sameZone);
    return otherZones.subList(0, Math.min(otherZones.size(), settings.indirectProbes()));
  }

  private void suspect(Probe probe, long nowMillis) {
    Optional<MemberEntry> entry =
        table
            .find(probe.target())
            .filter(found -> found.update().version() == probe.version())
            .filter(found -> found.update().health() == Health.ALIVE);
    if (entry.isPresent()) {
      MemberEntry suspect = entry.get().withHealth(Health.SUSPECT, nowMillis);
      adopt(suspect);
      pingSuspect(suspect);
    }
  }

  /** Pings suspects with the suspicion, so that they can refute it. */
  private void pingSuspects() {
    double share = PINGS_PER_SUSPECT / Math.max(PINGS_PER_SUSPECT, table.activeCount());
    for (MemberEntry suspect : table.suspects()) {
      if (random.nextDouble() < share) {
        pingSuspect(suspect);
      }
    }
  }

  private void pingSuspect(MemberEntry suspect) {
    send(suspect.id(), new PingMessage(++sequence, updatesFor(suspect)));
  }

  private void expireSuspicions(long nowMillis) {
    long boundMillis = settings.suspicionMillis(table.activeCount());
    for (MemberEntry suspect : table.suspects()) {
      boolean due = nowMillis - suspect.sinceMillis() >= boundMillis;
      if (due && regions.isReachable(suspect.update().region())) {
        adopt(suspect.withHealth(Health.DEAD, nowMillis));
      }
    }
  }

  /**
   * Sends new suspicions at the next tick. Each daemon starts the timeout of a suspicion when it
   * receives it, so that slow dissemination would delay the detection of a failure.
   */
  private void spreadSuspicions() {
    if (hasNewSuspicions) {
      hasNewSuspicions = false;
      pingRandomMembers(SUSPICION_PINGS);
    }
  }

  private void pingOtherRegions(long nowMillis) {
    for (String region : table.otherRegions()) {
      if (regions.isDue(region, nowMillis)) {
        MemberEntry target = randomIn(region).orElseThrow();
        send(target.id(), new PingMessage(++sequence, updatesFor(target)));
        changed |= regions.recordPing(region, nowMillis);
      }
    }
  }

  /**
   * Pings one address without a known active daemon: a seed, an address of the platform's host list
   * or that of a daemon declared dead. This adds new daemons and ends network partitions.
   */
  private void pingSeed(long nowMillis) {
    if (nowMillis < nextSeedMillis) {
      return;
    }
    boolean alone = table.activeCount() == 1;
    nextSeedMillis =
        nowMillis + (alone ? settings.probePeriodMillis() : settings.seedPeriodMillis());
    Set<PeerAddress> candidates = addresses.all();
    for (MemberEntry inactive : table.inactive()) {
      candidates.add(inactive.update().listening());
    }
    candidates.removeAll(table.activeAddresses());
    if (!candidates.isEmpty()) {
      PeerAddress chosen = List.copyOf(candidates).get(random.nextInt(candidates.size()));
      actions.add(new SendToAddress(chosen, new PingMessage(++sequence, ownUpdates())));
    }
  }

  private void compareDigests(long nowMillis) {
    if (nowMillis < nextDigestMillis) {
      return;
    }
    nextDigestMillis = nowMillis + settings.digestPeriodMillis();
    List<String> others = List.copyOf(table.otherRegions());
    boolean otherRegion = !others.isEmpty() && random.nextDouble() < OTHER_REGION_DIGEST_SHARE;
    String region =
        otherRegion ? others.get(random.nextInt(others.size())) : table.self().update().region();
    randomIn(region).ifPresent(peer -> sendDigest(peer.id()));
  }

  private void sendDigest(DaemonId to) {
    counts.digests++;
    send(to, new DigestMessage(table.digest(), ownUpdates()));
  }

  private void sendDifference(DaemonId to, DigestMessage digest) {
    List<Integer> differing = table.differing(digest.buckets());
    if (!differing.isEmpty()) {
      counts.states++;
      send(to, new StateMessage(differing, table.inBuckets(differing), true));
    }
  }

  private void removeInactive(long nowMillis) {
    if (nowMillis >= nextRemovalMillis) {
      nextRemovalMillis = nowMillis + REMOVAL_PERIOD_MILLIS;
      changed |= table.removeInactiveBefore(nowMillis - settings.forgetMillis());
    }
  }

  private void recordContact(DaemonId from, long nowMillis) {
    Optional<MemberEntry> entry = table.find(from);
    if (entry.isPresent() && regions.recordContact(entry.get().update().region())) {
      changed = true;
      restartSuspicions(entry.get().update().region(), nowMillis);
      sendDigest(from);
    }
  }

  /** Restarts the suspicions in a region that is reachable again, so that they can be refuted. */
  private void restartSuspicions(String region, long nowMillis) {
    for (MemberEntry suspect : table.suspects()) {
      if (suspect.update().region().equals(region)) {
        table.put(suspect.withChangeTime(nowMillis));
      }
    }
  }

  private void handleAck(long number) {
    if (probes.isCurrent(number)) {
      probes.end();
    }
    relays
        .take(number)
        .ifPresent(
            relay -> send(relay.requester(), new AckMessage(relay.sequence(), updatesFor(relay))));
  }

  /**
   * Responds to a ping. A sender that suspects this daemon always receives the refutation in the
   * response. Otherwise a daemon that resumes after a pause could receive more such pings than the
   * number of transmissions of an update, and the remaining senders would declare it dead.
   */
  private void acknowledge(DaemonId from, PingMessage ping) {
    List<MemberUpdate> required = new ArrayList<>();
    table
        .find(from.host())
        .filter(this::isSuspectOrInactive)
        .map(MemberEntry::update)
        .ifPresent(required::add);
    if (ping.updates().stream().anyMatch(this::isSuspicionOfSelf)) {
      required.add(table.self().update());
    }
    send(from, new AckMessage(ping.sequence(), takeUpdates(required)));
  }

  private boolean isSuspicionOfSelf(MemberUpdate update) {
    return update.id().equals(table.self().id()) && update.health() != Health.ALIVE;
  }

  private void relay(DaemonId from, PingRequestMessage request) {
    Optional<MemberEntry> target = table.find(request.target());
    long number = ++sequence;
    relays.add(number, new RelayedPings.Relay(from, request.sequence()));
    List<MemberUpdate> updates =
        target.map(this::updatesFor).orElseGet(() -> takeUpdates(List.of()));
    send(request.target(), new PingMessage(number, updates));
  }

  /**
   * Sends a digest to an unknown sender, unless a later incarnation on its host is known. Its
   * response contains its own entry, and the exchange updates both tables.
   */
  private void requestStateOfUnknownSender(DaemonId from, long nowMillis) {
    boolean known = table.find(from).isPresent();
    boolean outdated = table.find(from.host()).filter(e -> e.id().supersedes(from)).isPresent();
    if (!known && !outdated && nowMillis >= nextUnknownSenderDigestMillis) {
      nextUnknownSenderDigestMillis =
          nowMillis + (table.activeCount() == 1 ? 0 : UNKNOWN_SENDER_DIGEST_MILLIS);
      sendDigest(from);
    }
  }

  private void applyUpdates(List<MemberUpdate> updates, DaemonId from, long nowMillis) {
    for (MemberUpdate update : updates) {
      if (update.host().equals(table.self().update().host())) {
        applyUpdateOfSelf(update, from);
      } else {
        applyUpdateOfOther(update, nowMillis);
      }
    }
  }

  private void applyUpdateOfSelf(MemberUpdate received, DaemonId from) {
    MemberEntry self = table.self();
    if (received.id().supersedes(self.id())) {
      successor = Optional.of(received.id());
      return;
    }
    if (isSuspicionOfSelf(received) && received.version() >= self.update().version()) {
      counts.refutations++;
      adopt(self.withVersion(received.version() + 1));
      send(from, new PingMessage(++sequence, ownUpdates()));
      pingRandomMembers(URGENT_PINGS);
    }
  }

  private void applyUpdateOfOther(MemberUpdate received, long nowMillis) {
    Optional<MemberEntry> known = table.find(received.host());
    boolean inactive = received.health() == Health.DEAD || received.departure() == Departure.LEFT;
    if (known.isEmpty()) {
      // Guards against adding a removed daemon again by outdated updates of its death.
      if (!inactive) {
        adopt(new MemberEntry(received, nowMillis));
      }
      return;
    }
    MemberEntry entry = known.get();
    if (received.id().supersedes(entry.id())) {
      adopt(new MemberEntry(received, nowMillis));
    } else if (received.id().equals(entry.id())) {
      MemberEntry merged = entry.merge(received, nowMillis);
      if (!merged.update().equals(entry.update())) {
        adopt(merged);
      }
    }
  }

  /** Stores a changed entry, queues it for dissemination and counts the change. */
  private void adopt(MemberEntry entry) {
    Optional<MemberEntry> previous = table.find(entry.update().host());
    boolean sameIncarnation =
        previous.filter(previousEntry -> previousEntry.id().equals(entry.id())).isPresent();
    Health before = sameIncarnation ? previous.get().update().health() : Health.ALIVE;
    Health after = entry.update().health();
    boolean suspicion = before == Health.ALIVE && after == Health.SUSPECT;
    hasNewSuspicions |= suspicion;
    counts.suspicions += suspicion ? 1 : 0;
    counts.deaths += before != Health.DEAD && after == Health.DEAD ? 1 : 0;
    counts.revivals += before == Health.DEAD && after != Health.DEAD ? 1 : 0;
    changed |= !sameIncarnation || previous.get().state(true) != entry.state(true);
    table.put(entry);
    dissemination.add(entry.update());
  }

  private void pingRandomMembers(int pings) {
    List<String> hosts = table.reachableIn(table.self().update().region());
    Set<String> chosen = new LinkedHashSet<>();
    for (int sample = 0; sample < pings && !hosts.isEmpty(); sample++) {
      chosen.add(hosts.get(random.nextInt(hosts.size())));
    }
    for (String host : chosen) {
      MemberEntry entry = table.find(host).orElseThrow();
      send(entry.id(), new PingMessage(++sequence, takeUpdates(List.of(table.self().update()))));
    }
  }

  private Optional<MemberEntry> randomIn(String region) {
    List<String> hosts = table.reachableIn(region);
    return hosts.isEmpty() ? Optional.empty() : table.find(hosts.get(random.nextInt(hosts.size())));
  }

  private boolean isSuspectOrInactive(MemberEntry sender) {
    return sender.isInactive() || sender.isSuspect();
  }

  /** Returns updates for a daemon, including a suspicion or death of the daemon itself. */
  private List<MemberUpdate> updatesFor(MemberEntry receiver) {
    return takeUpdates(isSuspectOrInactive(receiver) ? List.of(receiver.update()) : List.of());
  }

  private List<MemberUpdate> updatesFor(RelayedPings.Relay relay) {
    return table
        .find(relay.requester())
        .map(this::updatesFor)
        .orElseGet(() -> takeUpdates(List.of()));
  }

  private List<MemberUpdate> ownUpdates() {
    return takeUpdates(List.of(table.self().update()));
  }

  private List<MemberUpdate> takeUpdates(List<MemberUpdate> required) {
    return dissemination.take(
        required, settings.maximumUpdateBytes(), settings.transmissions(table.activeCount()));
  }

  private void send(DaemonId to, PeerMessage message) {
    actions.add(new Send(to, message));
  }
}
