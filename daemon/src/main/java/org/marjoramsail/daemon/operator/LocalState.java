package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrderRecord;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.ShardView;

/** What this daemon knows; each method may be called on any thread and does not wait. */
public interface LocalState {

  /** The requests that it holds for callers. */
  List<RequestView> requests();

  /** A request that it holds, or held a short time ago. */
  Optional<RequestView> request(RequestId request);

  /** The shards that it owns. */
  List<ShardView> shards();

  /** The daemons as it sees them. */
  MembershipView membership();

  /** The configuration in force. */
  Configuration configuration();

  /** Where the configuration in force came from, and when. */
  RevisionView revision();

  /** The accepted changes that the configuration remembers, oldest first. */
  List<OrderRecord> history();

  /** How many requests it refused, by reason. */
  Map<RefusalReason, Long> refusals();

  /** How many attempts it repeated, by reason. */
  Map<RetryReason, Long> retries();

  /** The contents that are refused because they crashed upstreams. */
  List<QuarantineView> quarantine();

  /** The prompt parts that are suspected or refused because they may have crashed upstreams. */
  List<PartView> parts();

  /** The orders to engines. */
  List<EngineOrderView> engineOrders();

  /** Wall-clock time for people, in milliseconds since 1970. */
  long wallClockMillis();
}
