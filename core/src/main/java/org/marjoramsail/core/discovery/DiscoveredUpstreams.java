package org.marjoramsail.core.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams that this daemon assumes to exist, from a list that lags and has outages.
 *
 * <p>While the list cannot be read, the last state is kept. Entries may expire in such an outage
 * although their upstreams run; those upstreams register again shortly after its end. So an
 * upstream whose entry is missing then is kept for a time after the end of the outage, see {@link
 * RetentionBounds}.
 *
 * <p>An upstream may restart under its name. Entries of an earlier incarnation that the list shows
 * late do not replace those of the later one; see {@link IncarnationOrder}.
 *
 * <p>Not safe for several threads; the I/O layer calls it on a single one.
 */
public final class DiscoveredUpstreams {

  private static final class Entry {
    private final IncarnationOrder incarnations;
    private ListedUpstream listed;
    private Optional<Long> expiresAtMillis = Optional.empty();

    private Entry(ListedUpstream listed) {
      this.listed = listed;
      this.incarnations = new IncarnationOrder(listed.definition());
    }

    /** Keeps an entry that is missing until a later time. */
    private void extendTo(long untilMillis) {
      expiresAtMillis = expiresAtMillis.map(before -> Math.max(before, untilMillis));
    }
  }

  private final Map<UpstreamName, Entry> entries = new HashMap<>();
  private final VersionHistory versions = new VersionHistory();
  private final ListOutage outage;
  private boolean reachable;
  private boolean known;
  private long lastReceivedAtMillis;

  /** Creates an instance without entries. */
  public DiscoveredUpstreams(RetentionBounds bounds) {
    this.outage = new ListOutage(bounds);
  }

  /**
   * Records that a call to read the list got no response.
   *
   * @param sentAtMillis when it was sent
   */
  public void readFailed(long sentAtMillis) {
    reachable = false;
    outage.unanswered(sentAtMillis);
  }

  /**
   * Records that the connection of a call to read the list was closed. Entries that are missing
   * after a short interruption were removed.
   *
   * @param sentAtMillis when the call was sent
   */
  public void readInterrupted(long sentAtMillis, long nowMillis) {
    reachable = false;
    outage.closed(sentAtMillis, nowMillis);
  }

  /** Records that the list responded without its state, as when there were too many calls. */
  public void readDeclined(long nowMillis) {
    reachable = false;
    available(nowMillis);
  }

  /** Records that the list is available, though its state has not been read yet. */
  public void available(long nowMillis) {
    if (outage.responded(nowMillis)) {
      entries.values().forEach(entry -> entry.extendTo(outage.retainedUntilMillis()));
    }
  }

  /** Records that the list was restored from a backup, which may lack entries. */
  public void restored(long nowMillis) {
    reachable = false;
    outage.restored(nowMillis);
  }

  /**
   * Handles the complete list. Changes before it may have been missed.
   *
   * @param whole the entries
   * @param unusable names of entries that are present but invalid
   * @param nowMillis the current time
   * @return whether the upstreams have changed
   */
  public boolean listed(
      List<ListedUpstream> whole, Collection<UpstreamName> unusable, long nowMillis) {
    received(nowMillis);
    versions.restart(nowMillis);
    boolean changed = replace(whole, unusable, nowMillis);
    recordVersions(nowMillis);
    return changed;
  }

  /**
   * Handles the complete list, read again after a response that may have left out changes in a gap.
   *
   * @return whether the upstreams have changed; then changes were left out
   */
  public boolean listedAfterGap(
      List<ListedUpstream> whole,
      Collection<UpstreamName> unusable,
      RevisionGap gap,
      long nowMillis) {
    received(nowMillis);
    recordVersions(nowMillis);
    boolean changed = replace(whole, unusable, nowMillis);
    if (changed) {
      versions.restart(nowMillis);
    } else {
      versions.skipped(gap, nowMillis);
    }
    whole.forEach(one -> versions.listed(one.definition(), nowMillis));
    recordVersions(nowMillis);
    return changed;
  }

  private void recordVersions(long nowMillis) {
    entries.values().forEach(entry -> versions.listed(entry.listed.definition(), nowMillis));
  }

  private boolean replace(
      List<ListedUpstream> whole, Collection<UpstreamName> unusable, long nowMillis) {
    boolean changed = entries.keySet().removeAll(unusable);
    Set<UpstreamName> names = new HashSet<>();
    for (ListedUpstream one : whole) {
      names.add(one.definition().name());
      changed |= put(one);
    }
    for (UpstreamName name : List.copyOf(entries.keySet())) {
      if (!names.contains(name)) {
        changed |= remove(name, nowMillis);
      }
    }
    known = true;
    return changed;
  }

  /**
   * Handles the list of another daemon, while this daemon has not read one itself. An empty list is
   * that of a daemon that has read none, and counts as no list.
   *
   * @return whether the upstreams have changed; never once a list was read
   */
  public boolean listedByPeer(List<ListedUpstream> others) {
    if (known || others.isEmpty()) {
      return false;
    }
    others.forEach(this::put);
    known = true;
    return true;
  }

  /** Handles an entry that is new or has changed; returns whether the upstreams have changed. */
  public boolean changed(ListedUpstream one, long nowMillis) {
    received(nowMillis);
    recordVersion(one.definition().name(), nowMillis);
    versions.listed(one.definition(), nowMillis);
    return put(one);
  }

  /** Handles the removal of an entry; returns whether the upstreams have changed. */
  public boolean removed(UpstreamName name, long nowMillis) {
    received(nowMillis);
    recordVersion(name, nowMillis);
    return entries.containsKey(name) && remove(name, nowMillis);
  }

  /**
   * Handles an invalid entry, which removes the upstream until its next valid entry of any
   * incarnation; returns whether the upstreams have changed.
   */
  public boolean unusable(UpstreamName name, long nowMillis) {
    received(nowMillis);
    recordVersion(name, nowMillis);
    return entries.remove(name) != null;
  }

  /** Records that the list responded, with or without changes. */
  public void received(long nowMillis) {
    available(nowMillis);
    reachable = true;
    lastReceivedAtMillis = nowMillis;
  }

  /**
   * Removes entries that were missing for too long; returns whether there were any. None is removed
   * in an outage, in which upstreams cannot register.
   */
  public boolean tick(long nowMillis) {
    return !outage.isOngoing() && entries.values().removeIf(entry -> isExpired(entry, nowMillis));
  }

  private boolean isExpired(Entry entry, long nowMillis) {
    boolean expired = entry.expiresAtMillis.filter(at -> nowMillis >= at).isPresent();
    if (expired) {
      versions.listed(entry.listed.definition(), nowMillis);
    }
    return expired;
  }

  /**
   * Returns the only software version of a service that was listed since a time.
   *
   * @return empty if there were several or none, if changes since that time may have been missed,
   *     or if the list cannot be read now
   */
  public Optional<SoftwareVersion> onlyVersionSince(String service, long sinceMillis) {
    return reachable
        ? versions.onlyVersionSince(service, sinceMillis, version -> isListed(service, version))
        : Optional.empty();
  }

  /**
   * Returns the revision after which changes may have been missed; empty if none were, if the list
   * cannot be read now, or if reading them would not complete the history of the shortest streams.
   *
   * @param earliestMillis earliest begin of a stream of any service that may go on
   * @param latestMillis earliest begin of a stream of the service whose streams are the shortest
   */
  public Optional<StoreRevision> oldestGap(long earliestMillis, long latestMillis) {
    versions.dropGapsEndedBy(earliestMillis);
    return reachable ? versions.oldestGap(latestMillis) : Optional.empty();
  }

  /** Handles revisions of the store that changed no entry of this list. */
  public void unchangedBy(Collection<StoreRevision> elsewhere) {
    versions.explain(elsewhere);
  }

  /** Drops the older gaps, as the store has discarded the changes that would close them. */
  public void gapHistoryGone() {
    versions.dropOlderGaps();
  }

  private boolean isListed(String service, SoftwareVersion version) {
    return entries.values().stream()
        .map(entry -> entry.listed.definition())
        .anyMatch(
            one ->
                one.service().equals(service)
                    && one.softwareVersion().filter(version::equals).isPresent());
  }

  /** Records the version of an entry before it changes. */
  private void recordVersion(UpstreamName name, long nowMillis) {
    Entry entry = entries.get(name);
    if (entry != null) {
      versions.listed(entry.listed.definition(), nowMillis);
    }
  }

  /** Returns the upstreams that are kept although the list has no entry for them. */
  public Map<UpstreamName, RetainedUpstream> retained() {
    Map<UpstreamName, RetainedUpstream> retained = new HashMap<>();
    entries.forEach(
        (name, entry) ->
            entry.expiresAtMillis.ifPresent(
                untilMillis ->
                    retained.put(
                        name, new RetainedUpstream(name, outage.endedAtMillis(), untilMillis))));
    return retained;
  }

  /** Returns whether a list was ever read, here or by a peer. */
  public boolean isKnown() {
    return known;
  }

  /** Returns whether the last attempt to read the list succeeded. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns when the list last responded. */
  public long lastReceivedAtMillis() {
    return lastReceivedAtMillis;
  }

  /**
   * Returns all upstreams, in no order; those that are draining are marked as drained.
   *
   * <p>Where most entries of a service have a start time, an entry without one was not written by
   * an upstream and is left out.
   */
  public List<UpstreamDefinition> upstreams() {
    List<UpstreamDefinition> all = new ArrayList<>(entries.size());
    entries.values().forEach(entry -> all.add(entry.listed.definition()));
    Map<String, Integer> startTimeBalances = new HashMap<>();
    for (UpstreamDefinition one : all) {
      startTimeBalances.merge(
          one.service(), one.startedAtMillis().isPresent() ? 1 : -1, Integer::sum);
    }
    all.removeIf(
        one -> one.startedAtMillis().isEmpty() && startTimeBalances.get(one.service()) > 0);
    return all;
  }

  private boolean put(ListedUpstream one) {
    Entry entry = entries.get(one.definition().name());
    if (entry == null) {
      entries.put(one.definition().name(), new Entry(one));
      return true;
    }
    entry.expiresAtMillis = Optional.empty();
    boolean isOutdated = entry.listed.revision().compareTo(one.revision()) > 0;
    if (isOutdated || isUndrainedByRestore(entry.listed, one)) {
      return false;
    }
    UpstreamDefinition before = entry.listed.definition();
    Optional<UpstreamDefinition> next = entry.incarnations.next(before, one.definition());
    next.ifPresent(latest -> entry.listed = new ListedUpstream(latest, one.revision()));
    return next.filter(latest -> !latest.equals(before)).isPresent();
  }

  /**
   * Returns whether a restored entry would end the draining of an incarnation.
   *
   * <p>Guards against new work on an upstream that is draining: a store that was restored from a
   * backup may have its entry from before. An incarnation that drains never serves again.
   */
  private static boolean isUndrainedByRestore(ListedUpstream stored, ListedUpstream restored) {
    return restored.revision().epoch() > stored.revision().epoch()
        && stored.definition().drained()
        && !restored.definition().drained()
        && stored.definition().incarnation().equals(restored.definition().incarnation());
  }

  private boolean remove(UpstreamName name, long nowMillis) {
    Entry entry = entries.get(name);
    long retainedUntilMillis = outage.retainedUntilMillis();
    if (known && nowMillis < retainedUntilMillis && !entry.listed.definition().drained()) {
      if (entry.expiresAtMillis.isEmpty()) {
        entry.expiresAtMillis = Optional.of(retainedUntilMillis);
      }
      return false;
    }
    entries.remove(name);
    return true;
  }
}
