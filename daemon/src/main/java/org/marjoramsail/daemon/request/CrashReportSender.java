package org.marjoramsail.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.PartClearanceMessage;
import org.marjoramsail.core.outcome.PartCrashMessage;
import org.marjoramsail.core.outcome.Quarantine;

/**
 * Sends the crash reports of a quarantine to the other daemons: new ones to all that are reachable,
 * and all that are stored to a daemon that has become reachable.
 *
 * <p>Guards against a daemon that has started, or was cut off from the others, and lets a content
 * or prompt part that they refuse crash further upstreams.
 */
public final class CrashReportSender {

  /** Number of daemons that send their stored reports to one that has become reachable. */
  private static final int SENDERS = 3;

  private final DaemonId self;
  private final Quarantine quarantine;
  private final PeerTransport transport;
  private List<DaemonId> reachable;

  /** Creates a sender that knows no other daemon. */
  public CrashReportSender(DaemonId self, Quarantine quarantine, PeerTransport transport) {
    this.self = self;
    this.quarantine = quarantine;
    this.transport = transport;
    this.reachable = List.of(self);
  }

  /** Sends the reports that were added since the last call. */
  public synchronized void sendNew() {
    quarantine.takeCutMessages().forEach(this::sendToAll);
    // Before the crash reports, at which receivers discard the cuts that hold the parts back.
    quarantine.takePartMessages().forEach(this::sendToAll);
    quarantine.takeMessages().forEach(this::sendToAll);
  }

  private void sendToAll(PeerMessage message) {
    reachable.stream()
        .filter(daemon -> !daemon.equals(self))
        .forEach(daemon -> transport.send(daemon, message));
  }

  /** Handles a crash that another daemon reported; replies with the parts that are cleared here. */
  public void handle(DaemonId from, PartCrashMessage message, long nowMillis) {
    quarantine
        .handle(from, message, nowMillis)
        .ifPresent(clearance -> transport.send(from, clearance));
  }

  /** Handles the clearance of prompt parts by another daemon. */
  public void handle(DaemonId from, PartClearanceMessage message, long nowMillis) {
    quarantine.handle(from, message, nowMillis);
    sendNew();
  }

  /** Handles a change of the membership. */
  public synchronized void membersChanged(MembershipView view, long nowMillis) {
    List<DaemonId> before = reachable;
    reachable =
        view.members().stream()
            .filter(member -> member.state().isReachable())
            .map(Member::id)
            .toList();
    Set<DaemonId> known = Set.copyOf(before);
    List<DaemonId> added = reachable.stream().filter(daemon -> !known.contains(daemon)).toList();
    if (added.isEmpty()) {
      return;
    }
    List<PeerMessage> stored = new ArrayList<>(quarantine.reports(nowMillis));
    stored.addAll(quarantine.partReports(nowMillis));
    added.stream()
        .filter(daemon -> isSender(daemon, before))
        .forEach(daemon -> stored.forEach(message -> transport.send(daemon, message)));
  }

  /** Returns whether this daemon is among the first that follow another, in the order of hosts. */
  private boolean isSender(DaemonId added, List<DaemonId> before) {
    List<String> hosts =
        before.stream()
            .map(DaemonId::host)
            .filter(host -> !host.equals(added.host()))
            .distinct()
            .sorted()
            .toList();
    List<String> following = new ArrayList<>();
    following.addAll(hosts.stream().filter(host -> host.compareTo(added.host()) > 0).toList());
    following.addAll(hosts.stream().filter(host -> host.compareTo(added.host()) < 0).toList());
    return following.stream().limit(SENDERS).collect(Collectors.toSet()).contains(self.host());
  }
}
