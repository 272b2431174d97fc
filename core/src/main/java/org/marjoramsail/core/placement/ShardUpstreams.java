package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** The upstreams of one shard. */
final class ShardUpstreams {

  /** At most one in that many upstreams of a role is ejected at a time. */
  private static final int EJECTED_DIVISOR = 3;

  private final PlacementSettings settings;
  private final Map<UpstreamName, UpstreamState> byName = new TreeMap<>();
  private List<UpstreamState> all = List.of();

  ShardUpstreams(PlacementSettings settings) {
    this.settings = settings;
  }

  List<UpstreamState> all() {
    return all;
  }

  Optional<UpstreamState> find(UpstreamName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Takes newer definitions; what is no longer defined stays until nothing runs on it. */
  void define(List<UpstreamDefinition> definitions) {
    Set<UpstreamName> names = new HashSet<>();
    for (UpstreamDefinition definition : definitions) {
      names.add(definition.name());
      byName
          .computeIfAbsent(definition.name(), name -> new UpstreamState(definition, settings))
          .define(definition);
    }
    byName.values().stream()
        .filter(upstream -> !names.contains(upstream.name()))
        .forEach(UpstreamState::undefine);
    forgetUnused();
  }

  /** Forgets upstreams that are no longer configured and hold nothing of ours. */
  void forgetUnused() {
    byName.values().removeIf(upstream -> !upstream.isConfigured() && upstream.reserved() == 0);
    all = new ArrayList<>(byName.values());
  }

  boolean hasConfigured(UpstreamRole role) {
    return all.stream().anyMatch(upstream -> upstream.isConfigured() && upstream.role() == role);
  }

  /**
   * Counts a failure, and ejects an upstream that fails too often.
   *
   * <p>Where all fail together the cause is elsewhere, and ejecting them would leave the rest to
   * drown: at most a third of a role is out.
   */
  void failed(UpstreamState upstream, long nowMillis) {
    if (!upstream.ejection().failed() || upstream.ejection().isEjected(nowMillis)) {
      return;
    }
    int pool = 0;
    int out = 0;
    for (UpstreamState other : all) {
      if (other.role() == upstream.role() && other.isConfigured()) {
        pool++;
        out += other.ejection().isEjected(nowMillis) ? 1 : 0;
      }
    }
    if ((out + 1) * EJECTED_DIVISOR <= pool) {
      upstream.ejection().eject(nowMillis);
    }
  }
}
