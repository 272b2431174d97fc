package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/** Collects from daemons whether a revision is in force; callers have to hold a lock. */
public final class RevisionSurvey {

  private final long revision;
  private final Map<DaemonId, Optional<Long>> revisions = new TreeMap<>();

  /**
   * Starts a survey of the reachable daemons.
   *
   * @param revision the requested revision
   * @param own the revision in force on the requesting daemon
   * @param view the members of the cluster
   */
  public RevisionSurvey(long revision, long own, MembershipView view) {
    this.revision = revision;
    view.members().stream()
        .filter(member -> member.state().isReachable())
        .map(Member::id)
        .forEach(id -> revisions.put(id, Optional.empty()));
    revisions.put(view.self().id(), Optional.of(own));
  }

  /** Returns the daemons that have not yet confirmed that the revision is in force. */
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

  /** Records the response of a daemon; ignores daemons that are not part of the survey. */
  public void recordResponse(DaemonId from, long received) {
    revisions.computeIfPresent(
        from, (daemon, earlier) -> Optional.of(Math.max(received, earlier.orElse(0L))));
  }

  /** Returns the result so far. */
  public InForceReport report() {
    List<InForceReport.Lagging> lagging =
        outstanding().stream()
            .map(daemon -> new InForceReport.Lagging(daemon.host(), revisions.get(daemon)))
            .toList();
    int total = revisions.size();
    return new InForceReport(revision, total - lagging.size(), total, lagging);
  }
}
