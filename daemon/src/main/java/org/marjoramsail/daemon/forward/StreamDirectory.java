package org.marjoramsail.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.stream.StreamKey;
import org.marjoramsail.core.stream.StreamKnowledge;
import org.marjoramsail.core.stream.StreamOrigins;
import org.marjoramsail.core.stream.StreamQueryMessage;
import org.marjoramsail.core.stream.StreamRecord;
import org.marjoramsail.core.stream.StreamRecordsMessage;
import org.marjoramsail.core.stream.StreamReplicas;
import org.marjoramsail.core.stream.StreamResultMessage;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.request.TaskScheduler;

/**
 * Origins of the streams of all daemons. Each is kept by the daemon that began the stream and by a
 * few others, which are asked when a caller resumes the stream elsewhere.
 *
 * <p>Guards against a resumed stream that goes on at another software version because the daemon
 * that began it has failed.
 */
public final class StreamDirectory {

  private static final int MAXIMUM_STREAMS = 20_000;

  /** Maximum number of streams in one message, far below the size of the largest frame. */
  private static final int MAXIMUM_STREAMS_PER_MESSAGE = 500;

  /** Time after which daemons are asked again, in milliseconds. */
  private static final long REPEAT_MILLIS = 100;

  /** Time after which a search ends to which not all daemons respond, in milliseconds. */
  private static final long LIMIT_MILLIS = 500;

  private final DaemonId self;
  private final PeerTransport transport;
  private final TaskScheduler scheduler;
  private final Clock clock;
  private final StreamOrigins origins = new StreamOrigins(MAXIMUM_STREAMS);
  private final Map<StreamKey, StreamLookup> lookups = new HashMap<>();
  private Optional<StreamReplicas> replicas = Optional.empty();

  /** Creates a directory that knows neither streams nor other daemons. */
  public StreamDirectory(
      DaemonId self, PeerTransport transport, TaskScheduler scheduler, Clock clock) {
    this.self = self;
    this.transport = transport;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /** Handles a change of the membership. */
  public synchronized void membersChanged(MembershipView view) {
    replicas = Optional.of(new StreamReplicas(view));
  }

  /** Records the origin of a stream, here and at the daemons that keep copies. */
  public synchronized void add(StreamRecord stream) {
    origins.add(stream, clock.millis());
    StreamRecordsMessage message = new StreamRecordsMessage(List.of(stream));
    holders(stream).forEach(daemon -> transport.send(daemon, message));
  }

  /** Sends all origins to the daemons that keep copies after this one has stopped. */
  public synchronized void handOver() {
    Map<DaemonId, List<StreamRecord>> byDaemon = new LinkedHashMap<>();
    for (StreamRecord stream : origins.all(clock.millis())) {
      holders(stream)
          .forEach(
              daemon -> byDaemon.computeIfAbsent(daemon, unused -> new ArrayList<>()).add(stream));
    }
    byDaemon.forEach(this::sendInParts);
  }

  private List<DaemonId> holders(StreamRecord stream) {
    return replicas.map(among -> among.holders(stream.key())).orElseGet(List::of);
  }

  private void sendInParts(DaemonId daemon, List<StreamRecord> streams) {
    for (int from = 0; from < streams.size(); from += MAXIMUM_STREAMS_PER_MESSAGE) {
      int to = Math.min(streams.size(), from + MAXIMUM_STREAMS_PER_MESSAGE);
      transport.send(daemon, new StreamRecordsMessage(streams.subList(from, to)));
    }
  }

  /** Handles origins that another daemon sends. */
  public synchronized void handle(StreamRecordsMessage message) {
    long nowMillis = clock.millis();
    message.streams().forEach(stream -> origins.add(stream, nowMillis));
  }

  /** Responds to the query of another daemon. */
  public synchronized void handle(DaemonId from, StreamQueryMessage message) {
    StreamKnowledge knowledge = origins.find(message.key(), clock.millis());
    transport.send(from, new StreamResultMessage(message.key(), knowledge));
  }

  /** Handles the response of another daemon. */
  public void handle(DaemonId from, StreamResultMessage message) {
    List<Consumer<StreamLookup.Result>> listeners = List.of();
    Optional<StreamLookup.Result> result = Optional.empty();
    synchronized (this) {
      StreamLookup lookup = lookups.get(message.key());
      if (lookup != null) {
        result = lookup.responded(from, message.knowledge());
        if (result.isPresent()) {
          listeners = lookup.listeners();
          lookups.remove(message.key());
        }
      }
    }
    for (Consumer<StreamLookup.Result> listener : listeners) {
      listener.accept(result.orElseThrow());
    }
  }

  /**
   * Finds the origin of a stream. The listener is called once, on any thread, and after half a
   * second at the latest.
   */
  void find(StreamKey key, Consumer<StreamLookup.Result> listener) {
    Optional<StreamLookup.Result> result = findOrAsk(key, listener);
    result.ifPresent(listener);
  }

  private synchronized Optional<StreamLookup.Result> findOrAsk(
      StreamKey key, Consumer<StreamLookup.Result> listener) {
    StreamKnowledge own = origins.find(key, clock.millis());
    if (own.isAny()) {
      return Optional.of(new StreamLookup.Result(own, Optional.of(self)));
    }
    StreamLookup lookup = lookups.get(key);
    if (lookup == null) {
      List<DaemonId> asked = askedFor(key);
      if (asked.isEmpty()) {
        return Optional.of(StreamLookup.Result.NONE);
      }
      lookup = new StreamLookup();
      lookups.put(key, lookup);
      ask(key, lookup, asked);
      StreamLookup started = lookup;
      scheduler.schedule(REPEAT_MILLIS, () -> repeat(key, started));
      scheduler.schedule(LIMIT_MILLIS, () -> end(key, started));
    }
    lookup.listen(listener);
    return Optional.empty();
  }

  private synchronized void repeat(StreamKey key, StreamLookup lookup) {
    if (lookups.get(key) == lookup) {
      ask(key, lookup, askedFor(key));
    }
  }

  private void end(StreamKey key, StreamLookup lookup) {
    synchronized (this) {
      if (!lookups.remove(key, lookup)) {
        return;
      }
    }
    lookup.listeners().forEach(listener -> listener.accept(StreamLookup.Result.NONE));
  }

  private void ask(StreamKey key, StreamLookup lookup, List<DaemonId> daemons) {
    lookup.ask(daemons);
    StreamQueryMessage query = new StreamQueryMessage(key);
    daemons.forEach(daemon -> transport.send(daemon, query));
  }

  private List<DaemonId> askedFor(StreamKey key) {
    return replicas.map(among -> among.asked(key)).orElseGet(List::of);
  }

  /** Removes the streams that can no longer be resumed; called several times a second. */
  public synchronized void tick() {
    origins.expire(clock.millis());
  }

  /** Returns the number of searches that have not ended. */
  public synchronized int searches() {
    return lookups.size();
  }

  /** Returns the number of streams whose origin is known here. */
  public synchronized int size() {
    return origins.size();
  }

  /** Returns the number of origins that were dropped since there were too many. */
  public synchronized long dropped() {
    return origins.dropped();
  }
}
