package org.marjoramsail.core.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Engines that take no less urgent work until a waiting request fits.
 *
 * <p>Guards against small less urgent requests that take each part of the memory as it becomes
 * free, so that a large urgent request never fits. Only the earmarked engine is closed to them, so
 * that the other engines continue to serve them.
 */
public final class EarmarkedEngines {

  /** At most one in this many engines is earmarked for one urgency rank, and at least one. */
  private static final int ENGINES_OF_EARMARK = 4;

  /**
   * Engine that could be earmarked.
   *
   * @param millisUntilRoom expected time until the request fits; infinite if it never does
   */
  public record Candidate(UpstreamName engine, double millisUntilRoom) {}

  /**
   * Engine that is earmarked for a request.
   *
   * @param urgency rank of the request
   */
  public record Earmark(RequestId request, int urgency, UpstreamName engine) {}

  private final Map<RequestId, Earmark> byRequest = new LinkedHashMap<>();
  private final Map<UpstreamName, Integer> mostUrgentByEngine = new HashMap<>();

  /** Returns the maximum number of engines that are earmarked for one urgency rank. */
  public static int maximumOfRank(int engines) {
    return (engines + ENGINES_OF_EARMARK - 1) / ENGINES_OF_EARMARK;
  }

  /** Returns all earmarks, in the order in which they were made. */
  public Collection<Earmark> all() {
    return byRequest.values();
  }

  /** Returns whether an engine is earmarked for a request more urgent than the given rank. */
  public boolean isClosed(UpstreamName engine, int urgency) {
    Integer mostUrgent = mostUrgentByEngine.get(engine);
    return mostUrgent != null && mostUrgent < urgency;
  }

  /** Returns the number of engines earmarked for requests more urgent than the given rank. */
  public int countMoreUrgentThan(int urgency) {
    return (int) byRequest.values().stream().filter(one -> one.urgency() < urgency).count();
  }

  /**
   * Earmarks the engine that is expected to have room for a request soonest, unless the rank has
   * the maximum number of them. An engine that is earmarked already is not selected.
   *
   * @param maximum maximum number of earmarks of the rank
   * @param candidates returns the engines that may serve the request
   * @return whether an engine was earmarked
   */
  public boolean earmark(
      RequestId request, int urgency, int maximum, Supplier<Collection<Candidate>> candidates) {
    long ofRank = byRequest.values().stream().filter(one -> one.urgency() == urgency).count();
    if (byRequest.containsKey(request) || ofRank >= maximum) {
      return false;
    }
    Optional<Candidate> soonest =
        candidates.get().stream()
            .filter(one -> !mostUrgentByEngine.containsKey(one.engine()))
            .filter(one -> !Double.isInfinite(one.millisUntilRoom()))
            .min(Comparator.comparingDouble(Candidate::millisUntilRoom));
    soonest.ifPresent(
        one -> {
          byRequest.put(request, new Earmark(request, urgency, one.engine()));
          mostUrgentByEngine.put(one.engine(), urgency);
        });
    return soonest.isPresent();
  }

  /** Removes the earmark of a request that no longer waits. */
  public void release(RequestId request) {
    Earmark earmark = byRequest.remove(request);
    if (earmark != null) {
      mostUrgentByEngine.remove(earmark.engine());
    }
  }
}
