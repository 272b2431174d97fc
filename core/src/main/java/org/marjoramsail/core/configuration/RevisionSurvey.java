package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/** Gathers on which daemons a revision is in force; called under a lock of its owner. */
public final class RevisionSurvey {

  private final long revision;
  private final Map<DaemonId, Optional<Long>> revisions = new TreeMap<>();

  /**
   * Begins a survey of the daemons that can be reached.
   *
   * @param revision the revision asked about
   * @param own what is in force on the asking daemon
   * @param view the daemons
   */
  public RevisionSurvey(long revision, long own, MembershipView view) {
    this.revision = revision;
    view.members().stream()
        .filter(member -> member.state().isReachable())
        .map(Member::id)
        .forEach(id -> revisions.put(id, Optional.empty()));
    revisions.put(view.self().id(), Optional.of(own));
  }

  /** The daemons that have not said that the revision is in force. */
  public List<DaemonId> outstanding() {
    List<DaemonId> outstanding = new ArrayList<>();
    revisions.forEach(
        (daemon, received) -> {
          if (received.isEmpty() || received.get() < revision) {
            outstanding.add(daemon);
          }
        });
    return outstanding;
  }

  /** Handles an answer; one of a daemon that was not asked does nothing. */
  public void recordResponse(DaemonId from, long received) {
    revisions.computeIfPresent(
        from, (daemon, earlier) -> Optional.of(Math.max(received, earlier.orElse(0L))));
  }

  /** What is known so far. */
  public InForceReport report() {
    List<InForceReport.Lagging> lagging =
        outstanding().stream()
            .map(daemon -> new InForceReport.Lagging(daemon.host(), revisions.get(daemon)))
            .toList();
    int total = revisions.size();
    return new InForceReport(revision, total - lagging.size(), total, lagging);
  }
}
