package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * Keeps one daemon at the newest revision of the configuration and distributes it to other daemons.
 *
 * <p>Only a few daemons watch the store. A daemon that receives a new revision pushes it to
 * randomly chosen daemons. Each daemon also compares revisions with a random daemon periodically,
 * which recovers from lost messages. An older revision is never applied. Callers have to hold a
 * lock.
 */
public final class ConfigurationFollower {

  /** Mean interval between comparisons of revisions with another daemon, in milliseconds. */
  public static final long EXCHANGE_MILLIS = 2_000;

  private static final int RELAY_FAN_OUT = 4;
  private static final int ORIGIN_FAN_OUT = 16;
  private static final int START_FAN_OUT = 3;
  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
  private static final long FIRST_STORE_PAUSE_MILLIS = 1_000;
  private static final long MAXIMUM_STORE_PAUSE_MILLIS = 15_000;

  private final ConfigurationPacker packer;
  private final RandomGenerator random;
  private final RecentDeltas deltas = new RecentDeltas();

  private Configuration current = Configuration.empty();
  private RevisionSource source = RevisionSource.NONE;
  private boolean watching;
  private long nextExchangeMillis;
  private long nextStoreReadMillis;
  private long storePauseMillis = FIRST_STORE_PAUSE_MILLIS;
  private long requestedRevision;
  private long requestedMillis;

  /**
   * Creates a follower without a configuration.
   *
   * @param packer serialises complete configurations
   * @param random source for the choice of daemons and for jitter
   * @param nowMillis the current time
   */
  public ConfigurationFollower(ConfigurationPacker packer, RandomGenerator random, long nowMillis) {
    this.packer = packer;
    this.random = random;
    this.nextExchangeMillis = nowMillis;
    // Guards against a burst of reads that exceeds the limit of the store, when all daemons start
    // at once after a power cut. A random delay spreads the first reads over a second.
    this.nextStoreReadMillis = nowMillis + random.nextLong(FIRST_STORE_PAUSE_MILLIS);
  }

  /** Returns the newest revision that this daemon has received; initially the empty one. */
  public Configuration current() {
    return current;
  }

  /** Returns the source of the newest revision. */
  public RevisionSource source() {
    return source;
  }

  /** Returns whether a configuration has been received. */
  public boolean isReady() {
    return source != RevisionSource.NONE;
  }

  /** Returns whether this daemon should watch the store. */
  public boolean isWatching() {
    return watching;
  }

  /** Returns the actions that are due; to be called a few times a second. */
  public List<FollowerAction> tick(MembershipView view, long nowMillis) {
    List<FollowerAction> actions = new ArrayList<>();
    updateWatching(view, actions);
    if (!isReady() && !watching && nowMillis >= nextStoreReadMillis) {
      actions.add(new FollowerAction.ReadStore());
      long pause = storePauseMillis / 2 + random.nextLong(storePauseMillis);
      nextStoreReadMillis = nowMillis + pause;
      storePauseMillis = Math.min(MAXIMUM_STORE_PAUSE_MILLIS, storePauseMillis * 2);
    }
    if (nowMillis >= nextExchangeMillis) {
      nextExchangeMillis = nowMillis + EXCHANGE_MILLIS / 2 + random.nextLong(EXCHANGE_MILLIS);
      sendDigests(view, actions);
    }
    return actions;
  }

  /** Handles a revision that was read from the store or accepted by this daemon. */
  public List<FollowerAction> receiveRevision(
      Configuration configuration, RevisionSource from, MembershipView view) {
    List<FollowerAction> actions = new ArrayList<>();
    if (adopt(configuration, from, Optional.empty(), actions)) {
      push(configuration.revision(), ORIGIN_FAN_OUT, view, Optional.empty(), actions);
    }
    return actions;
  }

  /** Handles a message from another daemon; ignores messages of unrelated types. */
  public List<FollowerAction> handle(
      DaemonId from, PeerMessage message, MembershipView view, long nowMillis) {
    List<FollowerAction> actions = new ArrayList<>();
    if (message instanceof RevisionDeltaMessage delta) {
      applyDeltas(from, delta.deltas(), view, nowMillis, actions);
    } else if (message instanceof RevisionFullMessage full) {
      applyFull(from, full, view, actions);
    } else if (message instanceof RevisionDigestMessage digest) {
      compareRevisions(from, digest.revision(), nowMillis, actions);
    } else if (message instanceof RevisionRequestMessage request) {
      sendNewerRevisions(from, request.haveRevision(), actions);
    } else if (message instanceof RevisionStatusRequestMessage statusRequest) {
      RevisionStatusMessage status =
          new RevisionStatusMessage(statusRequest.question(), current.revision(), source);
      actions.add(new FollowerAction.Send(from, status));
    }
    return actions;
  }

  private void updateWatching(MembershipView view, List<FollowerAction> actions) {
    DaemonId self = view.self().id();
    boolean chosen =
        WatcherSelection.select(view, view.self().region()).stream()
            .anyMatch(member -> member.id().equals(self));
    if (chosen != watching) {
      watching = chosen;
      actions.add(chosen ? new FollowerAction.OpenWatch() : new FollowerAction.CloseWatch());
    }
  }

  private void sendDigests(MembershipView view, List<FollowerAction> actions) {
    int peers = isReady() ? 1 : START_FAN_OUT;
    for (DaemonId peer : randomPeers(view, peers, Optional.empty())) {
      actions.add(new FollowerAction.Send(peer, new RevisionDigestMessage(current.revision())));
    }
  }

  private boolean adopt(
      Configuration configuration,
      RevisionSource from,
      Optional<DaemonId> peer,
      List<FollowerAction> actions) {
    // Guards against undoing an accepted change when an older revision arrives late, because
    // messages were reordered or the store was restored from a backup. Revisions only increase, so
    // a revision that is not newer is dropped.
    if (configuration.revision() <= current.revision()) {
      return false;
    }
    deltas.recordStep(current, configuration);
    current = configuration;
    source = from;
    actions.add(new FollowerAction.Apply(configuration, from, peer));
    return true;
  }

  private void push(
      long revision,
      int fanOut,
      MembershipView view,
      Optional<DaemonId> except,
      List<FollowerAction> actions) {
    for (DaemonId peer : randomPeers(view, fanOut, except)) {
      actions.add(new FollowerAction.Send(peer, newestRevisionMessage(revision)));
    }
  }

  /** Returns the latest delta, or a digest with the revision number if there is no small delta. */
  private PeerMessage newestRevisionMessage(long revision) {
    List<RevisionDelta> last = deltas.lastStep();
    return last.isEmpty() ? new RevisionDigestMessage(revision) : new RevisionDeltaMessage(last);
  }

  private void applyDeltas(
      DaemonId from,
      List<RevisionDelta> steps,
      MembershipView view,
      long nowMillis,
      List<FollowerAction> actions) {
    Configuration updated = current;
    long newest = current.revision();
    for (RevisionDelta step : steps) {
      newest = Math.max(newest, step.revision());
      if (step.baseRevision() == updated.revision()) {
        updated = applyDelta(updated, step);
      }
    }
    if (adopt(updated, RevisionSource.PEER, Optional.of(from), actions)) {
      push(updated.revision(), RELAY_FAN_OUT, view, Optional.of(from), actions);
    }
    if (newest > current.revision()) {
      requestRevision(from, newest, nowMillis, actions);
    }
  }

  private static Configuration applyDelta(Configuration base, RevisionDelta step) {
    Configuration result =
        ConfigurationEditor.applyUnchecked(base, step.operations(), step.revision());
    return ConfigurationChecksum.of(result) == step.checksum() ? result : base;
  }

  private void applyFull(
      DaemonId from, RevisionFullMessage full, MembershipView view, List<FollowerAction> actions) {
    if (full.revision() <= current.revision()) {
      return;
    }
    packer
        .unpack(full.packed())
        .filter(configuration -> configuration.revision() == full.revision())
        .filter(
            configuration -> adopt(configuration, RevisionSource.PEER, Optional.of(from), actions))
        .ifPresent(
            configuration ->
                push(configuration.revision(), RELAY_FAN_OUT, view, Optional.of(from), actions));
  }

  private void compareRevisions(
      DaemonId from, long revision, long nowMillis, List<FollowerAction> actions) {
    if (revision > current.revision()) {
      requestRevision(from, revision, nowMillis, actions);
    } else {
      sendNewerRevisions(from, revision, actions);
    }
  }

  private void sendNewerRevisions(DaemonId peer, long peerRevision, List<FollowerAction> actions) {
    if (peerRevision >= current.revision()) {
      return;
    }
    List<RevisionDelta> steps = deltas.deltasSince(peerRevision);
    PeerMessage message =
        steps.isEmpty()
            ? new RevisionFullMessage(current.revision(), packer.pack(current))
            : new RevisionDeltaMessage(steps);
    actions.add(new FollowerAction.Send(peer, message));
  }

  private void requestRevision(
      DaemonId from, long revision, long nowMillis, List<FollowerAction> actions) {
    // Guards against bursts on the network when several daemons announce a large revision at once.
    // Only one of them is requested to send it, and another one only after a timeout.
    boolean alreadyRequested =
        requestedRevision >= revision && nowMillis - requestedMillis < REQUEST_TIMEOUT_MILLIS;
    if (alreadyRequested) {
      return;
    }
    requestedRevision = revision;
    requestedMillis = nowMillis;
    actions.add(new FollowerAction.Send(from, new RevisionRequestMessage(current.revision())));
  }

  private List<DaemonId> randomPeers(MembershipView view, int count, Optional<DaemonId> except) {
    List<DaemonId> peers =
        new ArrayList<>(
            view.members().stream()
                .filter(member -> member.state().isReachable())
                .map(Member::id)
                .filter(id -> !id.equals(view.self().id()))
                .filter(id -> !Optional.of(id).equals(except))
                .toList());
    Collections.shuffle(peers, new Random(random.nextLong()));
    return peers.subList(0, Math.min(count, peers.size()));
  }
}
