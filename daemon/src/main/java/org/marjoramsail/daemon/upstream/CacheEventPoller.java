package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Follows the prefix caches of engines; whoever keeps the index says when to ask.
 *
 * <p>It remembers the next sequence number of each engine. A new incarnation starts again from zero
 * and is told as such, since everything known of the old one is gone.
 */
public final class CacheEventPoller {

  private record Position(long incarnation, long next) {}

  /**
   * What one poll found.
   *
   * @param upstream the engine
   * @param restarted whether the engine has started anew since the last poll
   * @param list the events, in order, with gaps
   */
  public record CacheChange(UpstreamName upstream, boolean restarted, CacheEventList list) {}

  private final EngineClient engines;
  private final Map<UpstreamName, Position> positions = new HashMap<>();

  /** Creates an instance with what it asks with. */
  public CacheEventPoller(EngineClient engines) {
    this.engines = engines;
  }

  /** Asks one engine for what is new. */
  public Future<CacheChange> poll(UpstreamDefinition definition) {
    return engines
        .cacheEvents(UpstreamEndpoint.of(definition), position(definition.name()).next())
        .map(list -> advance(definition.name(), list));
  }

  private synchronized Position position(UpstreamName name) {
    return positions.getOrDefault(name, new Position(0, 0));
  }

  private synchronized CacheChange advance(UpstreamName name, CacheEventList list) {
    Position previous = position(name);
    boolean restarted = previous.incarnation() != 0 && previous.incarnation() != list.incarnation();
    positions.put(name, new Position(list.incarnation(), restarted ? 0 : list.next()));
    return new CacheChange(name, restarted, list);
  }
}
