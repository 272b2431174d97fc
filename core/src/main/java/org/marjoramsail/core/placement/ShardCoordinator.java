package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.PlacementMessage.Holding;

/**
 * The owner's side of placement for one shard: what each entry daemon has here.
 *
 * <p>It turns messages into calls of a {@link Placer} and its decisions into messages, and forgets
 * what an entry no longer speaks of. Not safe for several threads; the shell calls it under the
 * lock of the shard.
 */
public final class ShardCoordinator {

  /**
   * A message that the shell has to send.
   *
   * @param to the entry daemon, which may be the owner itself
   * @param message what to send
   */
  public record Outgoing(DaemonId to, PlacementMessage message) {}

  private static final class Registration {
    private final DaemonId entry;
    private final int attempt;
    private long lastMessageMillis;
    private Grant grant;

    Registration(DaemonId entry, int attempt, long lastMessageMillis) {
      this.entry = entry;
      this.attempt = attempt;
      this.lastMessageMillis = lastMessageMillis;
    }

    boolean matches(Holding holding) {
      return attempt == holding.attempt() && (grant != null || !holding.granted());
    }
  }

  private final ShardId shard;
  private final Placer placer;
  private final PlacementTimings timings;
  private final Map<RequestId, Registration> registrations = new LinkedHashMap<>();
  private long lastSweepMillis;

  /**
   * Creates the ledger of a shard that this daemon owns from now on.
   *
   * @param shard the shard
   * @param placer decides; called by this ledger alone
   * @param timings how long to keep what no entry speaks of
   */
  public ShardCoordinator(ShardId shard, Placer placer, PlacementTimings timings) {
    this.shard = shard;
    this.placer = placer;
    this.timings = timings;
  }

  /** Handles a message of an entry daemon. */
  public List<Outgoing> handle(DaemonId from, PlacementMessage message, long nowMillis) {
    if (message.conditions().isEmpty()) {
      return decide(from, message, nowMillis);
    }
    List<Outgoing> result = new ArrayList<>();
    for (RelayedFeedback feedback : message.conditions()) {
      result.addAll(outgoing(placer.acceptFeedback(feedback, from, nowMillis)));
    }
    result.addAll(decide(from, message, nowMillis));
    return result;
  }

  private List<Outgoing> decide(DaemonId from, PlacementMessage message, long nowMillis) {
    if (message instanceof PlacementMessage.Place place) {
      return place(from, place.request(), nowMillis);
    }
    if (message instanceof PlacementMessage.Restore restore) {
      return restore(from, restore, nowMillis);
    }
    if (message instanceof PlacementMessage.Report report) {
      return report(report.report(), nowMillis);
    }
    if (message instanceof PlacementMessage.Withdraw withdraw) {
      return withdraw(withdraw.request(), withdraw.attempt(), nowMillis);
    }
    if (message instanceof PlacementMessage.Holdings holdings) {
      return holdings(from, holdings.held(), nowMillis);
    }
    return List.of();
  }

  /** Drops what a dead daemon had here. */
  public List<Outgoing> daemonFailed(DaemonId daemon, long nowMillis) {
    registrations.values().removeIf(registration -> registration.entry.equals(daemon));
    return outgoing(placer.daemonFailed(daemon, nowMillis));
  }

  /**
   * Records that a daemon lives that was said to be dead.
   *
   * <p>What it sent meanwhile was not queued, yet it is registered, so that its entry would be told
   * that it waits and would never send it again. It is forgotten; the entry registers it anew when
   * it next repeats what it holds.
   *
   * <p>What the placer does hold stays registered. Guards against slots that are lost for good: a
   * daemon that has just started sends requests before it is known to live, their ends came for
   * registrations that were forgotten, and a pool of idle servers looked full to its owner.
   */
  public void daemonRecovered(DaemonId daemon) {
    registrations
        .entrySet()
        .removeIf(one -> one.getValue().entry.equals(daemon) && !placer.holds(one.getKey()));
    placer.daemonRecovered(daemon);
  }

  /** Passes a fact about upstreams or configuration to the placer. */
  public List<Outgoing> apply(PlacerEvent event, long nowMillis) {
    return outgoing(event.applyTo(placer, nowMillis));
  }

  /** What the owners of other shards should hear of the organisations here, if it is anything. */
  public Optional<OrganisationUsageMessage> usage(long nowMillis) {
    return placer instanceof UsageSharing sharing
        ? Optional.of(sharing.usage(nowMillis)).filter(message -> !message.usages().isEmpty())
        : Optional.empty();
  }

  /** Does what time has made due. */
  public List<Outgoing> tick(long nowMillis) {
    List<Outgoing> result = new ArrayList<>(outgoing(placer.tick(nowMillis)));
    if (nowMillis - lastSweepMillis >= timings.holdingsMillis()) {
      lastSweepMillis = nowMillis;
      result.addAll(releaseExpired(nowMillis));
    }
    return result;
  }

  /** What has come to be believed of upstreams by their own words since this was last asked. */
  public List<AcceptedFeedback> takeAcceptedFeedback() {
    return placer.takeAcceptedFeedback();
  }

  /** Whether no entry has anything here. */
  public boolean isEmpty() {
    return registrations.isEmpty();
  }

  /** An engine that should change its role, if there is one. */
  public Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return placer.recommendedRoleChange(nowMillis);
  }

  /** Whether something waits here for a place. */
  public boolean isWaiting() {
    return !registrations.isEmpty() && placer.isWaiting();
  }

  /** What runs and what waits here. */
  public ShardView view(long nowMillis) {
    return placer.view(nowMillis);
  }

  private List<Outgoing> place(DaemonId from, PlacementRequest request, long nowMillis) {
    Registration known = registrations.get(request.request());
    if (known != null && known.attempt > request.attempt()) {
      return List.of();
    }
    if (known != null && known.attempt == request.attempt()) {
      known.lastMessageMillis = nowMillis;
      return List.of(new Outgoing(from, currentState(request, known)));
    }
    List<Outgoing> result = new ArrayList<>();
    if (known != null) {
      result.addAll(withdraw(request.request(), known.attempt, nowMillis));
    }
    registrations.put(request.request(), new Registration(from, request.attempt(), nowMillis));
    result.addAll(outgoing(placer.place(request, nowMillis)));
    Registration after = registrations.get(request.request());
    if (after != null && after.grant == null) {
      result.add(new Outgoing(from, currentState(request, after)));
    }
    return result;
  }

  private PlacementMessage currentState(PlacementRequest request, Registration registration) {
    if (registration.grant != null) {
      return new PlacementMessage.Granted(shard, registration.grant);
    }
    return new PlacementMessage.Queued(shard, request.request(), request.attempt());
  }

  private List<Outgoing> restore(DaemonId from, PlacementMessage.Restore restore, long nowMillis) {
    PlacementRequest request = restore.request();
    List<Outgoing> result = new ArrayList<>();
    Registration known = registrations.get(request.request());
    boolean current =
        known != null && known.attempt == request.attempt() && restore.grant().equals(known.grant);
    if (current) {
      known.lastMessageMillis = nowMillis;
    } else {
      if (known != null) {
        result.addAll(withdraw(request.request(), known.attempt, nowMillis));
      }
      Registration registration = new Registration(from, request.attempt(), nowMillis);
      registration.grant = restore.grant();
      registrations.put(request.request(), registration);
      result.addAll(outgoing(placer.restore(request, restore.grant(), restore.phase(), nowMillis)));
    }
    result.add(new Outgoing(from, new PlacementMessage.Granted(shard, restore.grant())));
    return result;
  }

  private List<Outgoing> report(AttemptReport report, long nowMillis) {
    Registration known = registrations.get(report.request());
    if (known == null || known.attempt != report.attempt()) {
      return List.of();
    }
    known.lastMessageMillis = nowMillis;
    if (known.grant == null) {
      // The entry had its grant from another owner while the attempt still waited here. A placer
      // knows no end of what waits; left to it, the attempt would be granted to nobody and hold its
      // slot for ever.
      return report.phase() == AttemptPhase.ENDED
          ? withdraw(report.request(), report.attempt(), nowMillis)
          : List.of();
    }
    if (report.phase() == AttemptPhase.ENDED) {
      registrations.remove(report.request());
    }
    return outgoing(placer.report(report, nowMillis));
  }

  private List<Outgoing> withdraw(RequestId request, int attempt, long nowMillis) {
    Registration known = registrations.get(request);
    if (known == null || known.attempt != attempt) {
      return List.of();
    }
    registrations.remove(request);
    return outgoing(placer.withdraw(request, nowMillis));
  }

  private List<Outgoing> holdings(DaemonId from, List<Holding> held, long nowMillis) {
    List<Holding> unknown = new ArrayList<>();
    List<Outgoing> result = new ArrayList<>();
    for (Holding holding : held) {
      Registration known = registrations.get(holding.request());
      if (known == null || !known.matches(holding)) {
        unknown.add(holding);
        continue;
      }
      known.lastMessageMillis = nowMillis;
      if (known.grant != null && !holding.granted()) {
        // The grant was lost on its way: the slot is held and nobody uses it until it is told
        // again.
        result.add(new Outgoing(from, new PlacementMessage.Granted(shard, known.grant)));
      }
    }
    result.add(new Outgoing(from, new PlacementMessage.Unknown(shard, unknown)));
    return result;
  }

  /**
   * Releases attempts of which their entry says nothing.
   *
   * <p>Guards against a lost end or withdrawal, which would hold a slot for ever: the pool would
   * seem full with idle engines. Entries repeat what they hold several times within the bound.
   */
  private List<Outgoing> releaseExpired(long nowMillis) {
    Map<RequestId, Integer> expired = new HashMap<>();
    registrations.forEach(
        (request, registration) -> {
          if (nowMillis - registration.lastMessageMillis > timings.expiryMillis()) {
            expired.put(request, registration.attempt);
          }
        });
    List<Outgoing> result = new ArrayList<>();
    expired.forEach((request, attempt) -> result.addAll(withdraw(request, attempt, nowMillis)));
    return result;
  }

  private List<Outgoing> outgoing(List<PlacementResult> results) {
    List<Outgoing> messages = new ArrayList<>(results.size());
    for (PlacementResult result : results) {
      Registration registration = registrations.get(result.request());
      if (registration == null) {
        continue;
      }
      if (result instanceof PlacementResult.Granted granted) {
        registration.grant = granted.grant();
        messages.add(
            new Outgoing(registration.entry, new PlacementMessage.Granted(shard, granted.grant())));
      } else if (result instanceof PlacementResult.Refused refused) {
        registrations.remove(refused.request());
        messages.add(
            new Outgoing(
                registration.entry,
                new PlacementMessage.Refused(
                    shard, refused.request(), refused.attempt(), refused.refusal())));
      }
    }
    return messages;
  }
}
