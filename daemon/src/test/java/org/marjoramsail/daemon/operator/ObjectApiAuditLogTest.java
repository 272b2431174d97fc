package org.marjoramsail.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.configuration.FakeStore;
import org.marjoramsail.daemon.configuration.FakeTimers;

class ObjectApiAuditLogTest {

  private final FakeStore store = new FakeStore();
  private final FakeTimers timers = new FakeTimers(new ManualClock(0));
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final ObjectApiAuditLog log =
      new ObjectApiAuditLog(store, new DaemonId("entry-1", 9), timers, meters);

  @Test
  void manyRecordsCostOneCall() {
    add(50);
    timers.advance(ObjectApiAuditLog.GATHER_MILLIS);

    assertThat(store.calls()).hasSize(1);
    assertThat(recordsIn("entry-1-9-1")).isEqualTo(50);
  }

  @Test
  void aLostAnswerDoesNotMakeRecordsStandTwice() {
    // The store takes a batch, and the answer is lost.
    // Written again under another name, each order would seem to have been given twice.
    store.faults(call -> FakeStore.Fault.ANSWER_LOST);
    add(2);
    timers.advance(ObjectApiAuditLog.GATHER_MILLIS);
    store.faults(call -> FakeStore.Fault.NONE);
    add(1);
    timers.advance(ObjectApiAuditLog.RETRY_MILLIS);
    timers.advance(ObjectApiAuditLog.GATHER_MILLIS);

    assertThat(recordsIn("entry-1-9-1")).isEqualTo(2);
    assertThat(recordsIn("entry-1-9-2")).isEqualTo(1);
    assertThat(store.find(ObjectApiAuditLog.KIND, "entry-1-9-3")).isEmpty();
  }

  @Test
  void anOutageHoldsRecordsInBoundedNumberAndCountsTheRest() {
    store.faults(call -> FakeStore.Fault.UNAVAILABLE);
    add(ObjectApiAuditLog.MOST_WAITING + 5);

    assertThat(meters.counter("marjoramsail.audit.lost").count()).isEqualTo(5);
  }

  private void add(int count) {
    for (int number = 0; number < count; number++) {
      log.add(new AuditRecord("o" + number, 0, "entry-1", "ana", Optional.empty(), "show", "done"));
    }
  }

  private int recordsIn(String name) {
    return store.find(ObjectApiAuditLog.KIND, name).orElseThrow().spec().path("records").size();
  }
}
