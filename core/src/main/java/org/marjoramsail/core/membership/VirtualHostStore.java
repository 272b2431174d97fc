package org.marjoramsail.core.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramsail.core.discovery.StoreRevision;

/**
 * Simulation of the store in which hosts keep their records, with the rates of a real one, outages
 * and backups. Calls take effect at once; their caller delays the responses.
 */
public final class VirtualHostStore {

  /** Rates of the platform, for all daemons together. */
  private static final double READS_PER_SECOND = 2_000;

  private static final double WRITES_PER_SECOND = 400;

  /** Time for which unused calls of a rate are kept. */
  private static final double BURST_SECONDS = 0.5;

  /** Response of the store, which the calling daemon handles when it arrives. */
  @FunctionalInterface
  public interface Response {
    /** Passes the response to the leases of the calling daemon. */
    void handle(HostLeases leases, long nowMillis);
  }

  private static final Response NOT_REMOVED = (leases, nowMillis) -> leases.notRemoved();

  private static final class Rate {
    private final double perSecond;
    private double available;
    private long sinceMillis;

    Rate(double perSecond) {
      this.perSecond = perSecond;
      this.available = perSecond * BURST_SECONDS;
    }

    boolean tryUse(long nowMillis) {
      double earned = (nowMillis - sinceMillis) * perSecond / 1_000;
      available = Math.min(perSecond * BURST_SECONDS, available + earned);
      sinceMillis = nowMillis;
      if (available < 1) {
        return false;
      }
      available--;
      return true;
    }
  }

  private final Rate reads = new Rate(READS_PER_SECOND);
  private final Rate writes = new Rate(WRITES_PER_SECOND);
  private final Map<String, HostRecord> records = new TreeMap<>();
  private final Map<String, HostRecord> backup = new TreeMap<>();
  private boolean isAvailable = true;
  private boolean isWritable = true;
  private boolean isRemoving = true;
  private long epoch = 1;
  private long number;
  private long backupNumber;
  private long calls;

  /** Creates an empty store. */
  public VirtualHostStore() {}

  /** Sets whether calls take effect; calls to a store that is not available fail. */
  public void available(boolean newAvailable) {
    isAvailable = newAvailable;
  }

  /** Sets whether writes take effect; a store that is full or fails over may only be read. */
  public void writable(boolean newWritable) {
    isWritable = newWritable;
  }

  /** Sets whether records can be removed. */
  public void removing(boolean newRemoving) {
    isRemoving = newRemoving;
  }

  /** Takes the backup from which the store can be restored. */
  public void backUp() {
    backup.clear();
    backup.putAll(records);
    backupNumber = number;
  }

  /** Restores the last backup: later writes are lost, and their revisions are assigned again. */
  public void restore() {
    records.clear();
    records.putAll(backup);
    number = backupNumber;
    epoch++;
  }

  /** Returns the number of calls, failed ones included. */
  public long calls() {
    return calls;
  }

  /** Returns the hosts that have a record. */
  public List<String> hosts() {
    return List.copyOf(records.keySet());
  }

  /** Makes a call, and returns the response. */
  public Response call(HostLeaseCall call, long nowMillis) {
    calls++;
    boolean isRead = call instanceof HostLeaseCall.ReadAll;
    boolean isServed = isAvailable && (isRead || isWritable);
    if (!isServed || !(isRead ? reads : writes).tryUse(nowMillis)) {
      return call instanceof HostLeaseCall.Remove ? NOT_REMOVED : HostLeases::failed;
    }
    if (call instanceof HostLeaseCall.Renew renew) {
      return renew(renew);
    } else if (call instanceof HostLeaseCall.Remove remove) {
      return remove(remove);
    }
    List<HostRecord> read = records.values().stream().map(this::inEpoch).toList();
    StoreRevision revision = new StoreRevision(epoch, number);
    return (leases, millis) -> leases.read(read, revision, millis);
  }

  private Response renew(HostLeaseCall.Renew call) {
    HostRecord current = records.get(call.host());
    boolean isExpected =
        current == null
            ? call.replaced().isEmpty()
            : call.replaced().filter(known -> isAt(current, known)).isPresent();
    if (!isExpected) {
      return HostLeases::rejected;
    }
    StoreRevision revision = new StoreRevision(epoch, ++number);
    records.put(
        call.host(), new HostRecord(call.host(), call.listening(), call.hasLeft(), revision));
    return (leases, millis) -> leases.renewed(call, revision, millis);
  }

  private Response remove(HostLeaseCall.Remove call) {
    HostRecord current = records.get(call.record().host());
    if (!isRemoving || current == null || !isAt(current, call.record().revision())) {
      return NOT_REMOVED;
    }
    records.remove(call.record().host());
    return (leases, millis) -> leases.removed(call);
  }

  /** Returns whether a record is at a revision; epochs are not part of conditional writes. */
  private static boolean isAt(HostRecord record, StoreRevision revision) {
    return record.revision().number() == revision.number();
  }

  /** Returns a record as the store shows it: with the epoch of the response. */
  private HostRecord inEpoch(HostRecord record) {
    return new HostRecord(
        record.host(),
        record.listening(),
        record.hasLeft(),
        new StoreRevision(epoch, record.revision().number()));
  }
}
