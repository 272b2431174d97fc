package org.marjoramsail.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/** Creates identifiers that are unique across all runs of all daemons. */
final class RequestIds {

  private static final int RADIX = 36;

  private final String prefix;
  private final AtomicLong next = new AtomicLong(1);

  RequestIds(DaemonId daemon) {
    this.prefix = daemon.host() + "-" + Long.toString(daemon.incarnation(), RADIX) + "-";
  }

  RequestId next() {
    return new RequestId(prefix + Long.toString(next.getAndIncrement(), RADIX));
  }
}
