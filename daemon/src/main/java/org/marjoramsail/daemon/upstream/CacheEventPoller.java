package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Polls the prefix cache changes of engines; the owner of the prefix index triggers each poll.
 *
 * <p>It stores the next sequence number of each engine. A new incarnation starts from zero and is
 * reported as a restart, since its prefix cache is empty.
 */
public final class CacheEventPoller {

  private record Position(long incarnation, long next) {}

  /**
   * Result of one poll.
   *
   * @param upstream the engine
   * @param restarted whether the engine has restarted since the last poll
   * @param list the events, in order, with gaps
   */
  public record CacheChange(UpstreamName upstream, boolean restarted, CacheEventList list) {}

  private final EngineClient engines;
  private final Map<UpstreamName, Position> positions = new HashMap<>();

  /** Creates a poller that calls engines through the given client. */
  public CacheEventPoller(EngineClient engines) {
    this.engines = engines;
  }

  /** Polls the changes of one engine since the last poll. */
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
