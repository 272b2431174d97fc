package org.marjoramsail.daemon.order;

import io.vertx.core.Future;
import java.util.Optional;
import org.marjoramsail.core.order.LeaseCall;
import org.marjoramsail.core.order.LeaseKeeper;
import org.marjoramsail.core.order.LeaseRecord;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.StoredObject;

/** Performs the store calls of the keeper of one lease and reports their results to the keeper. */
final class LeaseObject {

  static final String KIND = "leases";

  private final String name;
  private final ObjectApi store;
  private final Clock clock;
  private final LeaseKeeper keeper;

  LeaseObject(String name, ObjectApi store, Clock clock, LeaseKeeper keeper) {
    this.name = name;
    this.store = store;
    this.clock = clock;
    this.keeper = keeper;
  }

  void tick(boolean candidate) {
    Optional<LeaseCall> call;
    synchronized (keeper) {
      call = keeper.tick(candidate, clock.millis());
    }
    call.ifPresent(this::perform);
  }

  void release() {
    Optional<LeaseCall> call;
    synchronized (keeper) {
      call = keeper.release();
    }
    call.ifPresent(this::perform);
  }

  boolean isHeld() {
    synchronized (keeper) {
      return keeper.isHeld(clock.millis());
    }
  }

  boolean mayAct(boolean fenced) {
    synchronized (keeper) {
      return keeper.mayAct(fenced, clock.millis());
    }
  }

  long token() {
    synchronized (keeper) {
      return keeper.token();
    }
  }

  private void perform(LeaseCall call) {
    if (call instanceof LeaseCall.Write write) {
      write(write).onComplete(stored -> written(write.lease(), stored), this::failed);
    } else {
      store.get(KIND, name).onComplete(this::read, this::readFailed);
    }
  }

  private Future<StoredObject> write(LeaseCall.Write write) {
    var content = ConfigurationFormat.toTree(write.lease());
    return write.version().isEmpty()
        ? store.create(KIND, name, content)
        : store.replace(new StoredObject(KIND, name, write.version(), content));
  }

  private void written(LeaseRecord lease, StoredObject stored) {
    synchronized (keeper) {
      keeper.written(lease, stored.resourceVersion(), clock.millis());
    }
  }

  private void read(StoredObject stored) {
    try {
      LeaseRecord lease = ConfigurationFormat.fromTree(stored.spec(), LeaseRecord.class);
      synchronized (keeper) {
        keeper.read(Optional.of(lease), stored.resourceVersion(), clock.millis());
      }
    } catch (ConfigurationFormatException malformed) {
      failed(malformed);
    }
  }

  private void readFailed(Throwable failure) {
    if (failure instanceof ObjectApiException apiFailure
        && apiFailure.failure() == Failure.NOT_FOUND) {
      synchronized (keeper) {
        keeper.read(Optional.empty(), "", clock.millis());
      }
    } else {
      failed(failure);
    }
  }

  private void failed(Throwable failure) {
    synchronized (keeper) {
      keeper.failed(clock.millis());
    }
  }
}
