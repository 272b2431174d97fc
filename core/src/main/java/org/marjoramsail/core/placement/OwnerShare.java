package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/**
 * Share of the limits of the whole fleet that the owner of a shard may use.
 *
 * <p>While daemons disagree on the owner of a shard, each of its owners serves a part of the entry
 * daemons. An owner uses the part of a limit that corresponds to the entry daemons that send it
 * messages, so that the shares of several owners add up to the limit. An owner that has ranked
 * first for some time serves all daemons that it can reach, whether they have requests or not.
 */
final class OwnerShare {

  /**
   * Time for which a daemon must rank first before all reachable daemons count; longer than the
   * failure detectors usually take to agree.
   */
  private static final long SETTLING_MILLIS = 3_000;

  /** Time for which an entry daemon counts after its last message. */
  private static final long CONTACT_MILLIS = 5_000;

  /**
   * Time in which a daemon that knows of other hosts joins them before it grants on its own; a
   * daemon without peers contacts an address every 250 ms.
   */
  private static final long JOINING_MILLIS = 300;

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Long> contactMillis = new HashMap<>();
  private double reachableShare = 1;
  private int knownHosts = 1;
  private String self = "";
  private boolean isAlone;
  private long aloneSinceMillis;
  private long firstSinceMillis = NEVER;

  /** Applies a membership view, and whether this daemon ranks first for the shard in it. */
  void fleetChanged(MembershipView view, boolean ranksFirst, long nowMillis) {
    reachableShare = view.budgetShare();
    knownHosts = view.knownHosts();
    self = view.self().id().host();
    if (view.isAlone() && !isAlone) {
      aloneSinceMillis = nowMillis;
    }
    isAlone = view.isAlone();
    if (!ranksFirst) {
      firstSinceMillis = NEVER;
    } else if (firstSinceMillis == NEVER) {
      firstSinceMillis = nowMillis;
    }
  }

  /** Records a message of an entry daemon. */
  void contacted(DaemonId entry, long nowMillis) {
    contactMillis.put(entry.host(), nowMillis);
  }

  /** Returns whether daemons may not agree yet on the owner. */
  boolean isProvisional(long nowMillis) {
    boolean isSettled =
        firstSinceMillis != NEVER && nowMillis - firstSinceMillis >= SETTLING_MILLIS;
    return !isSettled && knownHosts > 1;
  }

  /** Returns the share, from 0 to 1; zero while this daemon joins the others. */
  double at(long nowMillis) {
    if (!isProvisional(nowMillis)) {
      return reachableShare;
    }
    if (isAlone && nowMillis - aloneSinceMillis < JOINING_MILLIS) {
      return 0;
    }
    contactMillis.values().removeIf(millis -> nowMillis - millis > CONTACT_MILLIS);
    int served = contactMillis.size() + (contactMillis.containsKey(self) ? 0 : 1);
    return Math.min(1, served / (double) knownHosts);
  }
}
