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
 * Coordinates the placement of one shard on the daemon that owns it.
 *
 * <p>It turns messages of entry daemons into calls of a {@link Placer} and the decisions of the
 * placer into messages. It releases attempts that their entry daemon no longer reports. Not
 * thread-safe; the I/O layer calls it under the lock of the shard.
 */
public final class ShardCoordinator {

  /**
   * A message for the I/O layer to send.
   *
   * @param to the entry daemon, which may be the owner itself
   * @param message the message
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
   * Creates the coordinator of a shard that this daemon owns from now on.
   *
   * @param shard the shard
   * @param placer makes the decisions; called by this coordinator alone
   * @param timings the expiry of attempts that no entry daemon reports
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

  /** Releases the attempts of a daemon that has failed. */
  public List<Outgoing> daemonFailed(DaemonId daemon, long nowMillis) {
    registrations.values().removeIf(registration -> registration.entry.equals(daemon));
    return outgoing(placer.daemonFailed(daemon, nowMillis));
  }

  /**
   * Records that a daemon that was declared failed is running.
   *
   * <p>Attempts that the daemon registered in the meantime were not queued by the placer. Their
   * registrations are removed, so that the daemon registers them again when it next sends its
   * holdings; otherwise they would stay registered as waiting and would never be granted.
   *
   * <p>Attempts that the placer does hold stay registered. Guards against slots that are held for
   * good: a daemon that has just started may place requests before its recovery is detected, and
   * without their registrations the ends of these requests would be ignored.
   */
  public void daemonRecovered(DaemonId daemon) {
    registrations
        .entrySet()
        .removeIf(one -> one.getValue().entry.equals(daemon) && !placer.holds(one.getKey()));
    placer.daemonRecovered(daemon);
  }

  /** Applies an event about upstreams or configuration to the placer. */
  public List<Outgoing> apply(PlacerEvent event, long nowMillis) {
    return outgoing(event.applyTo(placer, nowMillis));
  }

  /**
   * Returns the usage of organisations to send to the owners of other shards; empty if there is
   * none.
   */
  public Optional<OrganisationUsageMessage> usage(long nowMillis) {
    return placer instanceof UsageSharing sharing
        ? Optional.of(sharing.usage(nowMillis)).filter(message -> !message.usages().isEmpty())
        : Optional.empty();
  }

  /** Runs the time-dependent work of the placer and releases expired attempts. */
  public List<Outgoing> tick(long nowMillis) {
    List<Outgoing> result = new ArrayList<>(outgoing(placer.tick(nowMillis)));
    if (nowMillis - lastSweepMillis >= timings.holdingsMillis()) {
      lastSweepMillis = nowMillis;
      result.addAll(releaseExpired(nowMillis));
    }
    return result;
  }

  /** Returns the upstream feedback accepted since the last call. */
  public List<AcceptedFeedback> takeAcceptedFeedback() {
    return placer.takeAcceptedFeedback();
  }

  /** Returns whether no attempt is registered. */
  public boolean isEmpty() {
    return registrations.isEmpty();
  }

  /** Returns a recommended change of an engine's role, if there is one. */
  public Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return placer.recommendedRoleChange(nowMillis);
  }

  /** Returns whether an attempt waits for a grant. */
  public boolean isWaiting() {
    return !registrations.isEmpty() && placer.isWaiting();
  }

  /** Returns the running and waiting attempts. */
  public ShardView view(long nowMillis) {
    return placer.view(nowMillis);
  }

  private List<Outgoing> place(DaemonId from, PlacementRequest request, long nowMillis) {
    Registration existing = registrations.get(request.request());
    if (existing != null && existing.attempt > request.attempt()) {
      return List.of();
    }
    if (existing != null && existing.attempt == request.attempt()) {
      existing.lastMessageMillis = nowMillis;
      return List.of(new Outgoing(from, currentState(request, existing)));
    }
    List<Outgoing> result = new ArrayList<>();
    if (existing != null) {
      result.addAll(withdraw(request.request(), existing.attempt, nowMillis));
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
    Registration existing = registrations.get(request.request());
    boolean isCurrent =
        existing != null
            && existing.attempt == request.attempt()
            && restore.grant().equals(existing.grant);
    if (isCurrent) {
      existing.lastMessageMillis = nowMillis;
    } else {
      if (existing != null) {
        result.addAll(withdraw(request.request(), existing.attempt, nowMillis));
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
    Registration existing = registrations.get(report.request());
    if (existing == null || existing.attempt != report.attempt()) {
      return List.of();
    }
    existing.lastMessageMillis = nowMillis;
    if (existing.grant == null) {
      // The entry daemon received its grant from another owner while the attempt still waited here.
      // The placer ignores the end of a waiting attempt; without this withdrawal it would later
      // grant the attempt and hold its slot for good.
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
    Registration existing = registrations.get(request);
    if (existing == null || existing.attempt != attempt) {
      return List.of();
    }
    registrations.remove(request);
    return outgoing(placer.withdraw(request, nowMillis));
  }

  private List<Outgoing> holdings(DaemonId from, List<Holding> held, long nowMillis) {
    List<Holding> unknown = new ArrayList<>();
    List<Outgoing> result = new ArrayList<>();
    for (Holding holding : held) {
      Registration existing = registrations.get(holding.request());
      if (existing == null || !existing.matches(holding)) {
        unknown.add(holding);
        continue;
      }
      existing.lastMessageMillis = nowMillis;
      if (existing.grant != null && !holding.granted()) {
        // The grant message was lost: the slot is held but unused until the grant is sent again.
        result.add(new Outgoing(from, new PlacementMessage.Granted(shard, existing.grant)));
      }
    }
    result.add(new Outgoing(from, new PlacementMessage.Unknown(shard, unknown)));
    return result;
  }

  /**
   * Releases attempts that their entry daemon no longer reports.
   *
   * <p>Guards against a lost end or withdrawal, which would hold a slot for good, so that the pool
   * would seem full while its engines are idle. Entry daemons send their holdings several times
   * within the expiry.
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
