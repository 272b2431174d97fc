package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.Timers;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;

/**
 * Keeps records in the object API, many in one object, so that a burst of orders costs few calls.
 *
 * <p>While the store is down, records wait here in bounded number; what no longer fits is counted.
 * Safe on any thread.
 */
public final class ObjectApiAuditLog implements AuditLog {

  /** The kind of the objects. */
  public static final String KIND = "auditrecords";

  /** How many records wait at most. */
  static final int MOST_WAITING = 10_000;

  /** How many records one object holds at most; well under a megabyte of usual statements. */
  static final int MOST_IN_BATCH = 100;

  /** How long records wait for others, in milliseconds. */
  static final long GATHER_MILLIS = 1_000;

  /** How long records wait after a failure, in milliseconds. */
  static final long RETRY_MILLIS = 10_000;

  private final ObjectApi store;
  private final DaemonId self;
  private final Timers timers;
  private final MeterRegistry meters;
  private final Deque<AuditRecord> waiting = new ArrayDeque<>();
  private long batches;
  private boolean isScheduled;

  /**
   * Creates an instance with all that it needs.
   *
   * @param store where records are kept
   * @param self the run of the daemon, which makes names of objects unique
   * @param timers gather records before they are written
   * @param meters count records that are lost
   */
  public ObjectApiAuditLog(ObjectApi store, DaemonId self, Timers timers, MeterRegistry meters) {
    this.store = store;
    this.self = self;
    this.timers = timers;
    this.meters = meters;
  }

  @Override
  public synchronized void add(AuditRecord entry) {
    if (waiting.size() >= MOST_WAITING) {
      meters.counter("marjoramsail.audit.lost").increment();
      return;
    }
    waiting.add(entry);
    schedule(GATHER_MILLIS);
  }

  private synchronized void schedule(long delayMillis) {
    if (!isScheduled) {
      isScheduled = true;
      timers.schedule(delayMillis, this::write);
    }
  }

  private void write() {
    List<AuditRecord> batch = take();
    String name = self.host() + "-" + self.incarnation() + "-" + nextNumber();
    send(name, batch);
  }

  private synchronized long nextNumber() {
    return ++batches;
  }

  private synchronized List<AuditRecord> take() {
    List<AuditRecord> batch = new ArrayList<>();
    while (batch.size() < MOST_IN_BATCH && !waiting.isEmpty()) {
      batch.add(waiting.remove());
    }
    return batch;
  }

  /**
   * Writes a batch under its name until it is there.
   *
   * <p>Guards against a write that took effect though its answer was lost, which would show as a
   * record that stands twice: the name is the same each time, so a repeat finds the object and
   * ends.
   */
  private void send(String name, List<AuditRecord> batch) {
    store
        .create(KIND, name, spec(batch))
        .onSuccess(stored -> written())
        .onFailure(
            failure -> {
              if (isThere(failure)) {
                written();
              } else {
                timers.schedule(RETRY_MILLIS, () -> send(name, batch));
              }
            });
  }

  private static boolean isThere(Throwable failure) {
    return failure instanceof ObjectApiException refused
        && refused.failure() == ObjectApiException.Failure.ALREADY_EXISTS;
  }

  private synchronized void written() {
    isScheduled = false;
    if (!waiting.isEmpty()) {
      schedule(0);
    }
  }

  private static ObjectNode spec(List<AuditRecord> batch) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    ArrayNode entries = spec.putArray("records");
    batch.forEach(entry -> entries.add(ConfigurationFormat.toTree(entry)));
    return spec;
  }
}
