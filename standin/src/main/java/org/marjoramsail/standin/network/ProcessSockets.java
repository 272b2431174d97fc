package org.marjoramsail.standin.network;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the local ports of the TCP connections of processes, on Linux. The tables of the system are
 * read by a worker thread, once for all that ask while an earlier reading lasts. Safe for several
 * threads.
 */
public final class ProcessSockets {

  /** What returns the ports of each process, and may take long. */
  @FunctionalInterface
  interface Tables {
    Map<Long, Set<Integer>> portsOf(Set<Long> processes) throws IOException;
  }

  private record Query(Set<Long> processes, Context context, Promise<Set<Integer>> ports) {

    void complete(Map<Long, Set<Integer>> portsByProcess) {
      Set<Integer> found = new HashSet<>();
      processes.forEach(process -> found.addAll(portsByProcess.get(process)));
      context.runOnContext(read -> ports.complete(found));
    }

    void fail(Throwable cause) {
      context.runOnContext(read -> ports.fail(cause));
    }
  }

  private static final Logger LOGGER = LoggerFactory.getLogger(ProcessSockets.class);

  private final Vertx vertx;
  private final Tables tables;
  private List<Query> waiting = new ArrayList<>();
  private boolean isReading;

  /** Creates an instance that reads the tables of this machine. */
  public ProcessSockets(Vertx vertx) {
    this(vertx, SocketTables::portsOf);
  }

  /**
   * Creates an instance.
   *
   * @param vertx runs the worker thread
   * @param tables what is read
   */
  ProcessSockets(Vertx vertx, Tables tables) {
    this.vertx = vertx;
    this.tables = tables;
  }

  /**
   * Returns the ports of processes, read after this call; none of a process that has ended or
   * cannot be read. The result comes on the context of the caller.
   */
  public Future<Set<Integer>> portsOf(Set<Long> processes) {
    Query query = new Query(Set.copyOf(processes), vertx.getOrCreateContext(), Promise.promise());
    if (isFirst(query)) {
      readNext();
    }
    return query.ports().future();
  }

  private synchronized boolean isFirst(Query query) {
    waiting.add(query);
    boolean isFirst = !isReading;
    isReading = true;
    return isFirst;
  }

  private void readNext() {
    List<Query> batch = takeWaiting();
    if (batch.isEmpty()) {
      return;
    }
    Set<Long> processes = new HashSet<>();
    batch.forEach(query -> processes.addAll(query.processes()));
    vertx
        .executeBlocking(() -> tables.portsOf(processes), false)
        .onSuccess(ports -> batch.forEach(query -> query.complete(ports)))
        .onFailure(cause -> LOGGER.warn("sockets of processes cannot be read", cause))
        .onFailure(cause -> batch.forEach(query -> query.fail(cause)))
        .onComplete(read -> readNext());
  }

  /** A connection that is opened during a reading may be missing in it, and waits for the next. */
  private synchronized List<Query> takeWaiting() {
    List<Query> batch = waiting;
    waiting = new ArrayList<>();
    isReading = !batch.isEmpty();
    return batch;
  }
}
