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
 * Engines that take no less urgent and no smaller work until a waiting request fits.
 *
 * <p>Guards against requests that take each part of the memory as it becomes free, so that a large
 * request never fits. Only the earmarked engine is closed to them, so that the other engines
 * continue to serve them.
 */
public final class EarmarkedEngines {

  /** At most one in this many engines is earmarked for one urgency rank, and at least one. */
  private static final int ENGINES_OF_EARMARK = 4;

  /** A late request keeps its engine from requests within their target that it exceeds by more. */
  private static final int MUCH_LARGER_FACTOR = 2;

  /**
   * Engine that could be earmarked.
   *
   * @param millisUntilRoom expected time until the request fits; infinite if it never does
   */
  public record Candidate(UpstreamName engine, double millisUntilRoom) {}

  /**
   * Request for which an engine is earmarked.
   *
   * @param urgency rank of the request
   * @param memoryTokens memory that it needs
   * @param isLarge whether smaller requests of its rank are kept from the engine
   * @param isLate whether it has missed its target, after which less urgent ranks are not kept from
   *     the engine
   */
  public record Holder(
      RequestId request, int urgency, int memoryTokens, boolean isLarge, boolean isLate) {

    private boolean isMuchLargerThan(Holder other) {
      return memoryTokens > MUCH_LARGER_FACTOR * other.memoryTokens;
    }

    private boolean excludes(int otherUrgency, int otherTokens) {
      return urgency == otherUrgency
          ? isLarge && otherTokens < memoryTokens
          : urgency < otherUrgency && !isLate;
    }

    private Holder afterTarget() {
      return new Holder(request, urgency, memoryTokens, isLarge, true);
    }
  }

  /** Engine that is earmarked for a request. */
  public record Earmark(Holder holder, UpstreamName engine) {}

  private final Map<RequestId, Earmark> byRequest = new LinkedHashMap<>();
  private final Map<UpstreamName, Earmark> byEngine = new HashMap<>();

  /** Returns the maximum number of engines that are earmarked for one urgency rank. */
  public static int maximumOfRank(int engines) {
    return (engines + ENGINES_OF_EARMARK - 1) / ENGINES_OF_EARMARK;
  }

  /** Returns all earmarks, in the order in which they were made. */
  public Collection<Earmark> all() {
    return byRequest.values();
  }

  /** Returns whether an engine is kept for a request from smaller ones of its rank. */
  public boolean isKeptFromSmaller(RequestId request) {
    Earmark earmark = byRequest.get(request);
    return earmark != null && earmark.holder().isLarge();
  }

  /** Returns whether an engine takes no request of this rank and size. */
  public boolean isClosed(UpstreamName engine, int urgency, int memoryTokens) {
    Earmark earmark = byEngine.get(engine);
    return earmark != null && earmark.holder().excludes(urgency, memoryTokens);
  }

  /** Returns whether an engine is earmarked for a more urgent request within its target. */
  public boolean isClosedToRank(UpstreamName engine, int urgency) {
    Earmark earmark = byEngine.get(engine);
    return earmark != null && !earmark.holder().isLate() && earmark.holder().urgency() < urgency;
  }

  /**
   * Returns the number of engines earmarked for requests more urgent than the given rank that can
   * still meet their target.
   */
  public int countMoreUrgentThan(int urgency) {
    return (int)
        byRequest.values().stream()
            .map(Earmark::holder)
            .filter(holder -> holder.urgency() < urgency && !holder.isLate())
            .count();
  }

  /**
   * Earmarks the engine that is expected to have room for a request soonest. If the rank has the
   * maximum number of earmarks, a request within its target takes over that of a late one that is
   * not much larger, whose engine has been gaining room.
   *
   * @param maximum maximum number of earmarks of the rank
   * @param candidates returns the engines that may serve the request
   * @return whether an engine was earmarked
   */
  public boolean earmark(Holder holder, int maximum, Supplier<Collection<Candidate>> candidates) {
    if (byRequest.containsKey(holder.request())) {
      return false;
    }
    long ofRank = byRequest.values().stream().filter(it -> isOfRank(it, holder)).count();
    Optional<UpstreamName> engine = ofRank < maximum ? soonest(candidates.get()) : takeOver(holder);
    engine.ifPresent(name -> put(new Earmark(holder, name)));
    return engine.isPresent();
  }

  private static boolean isOfRank(Earmark earmark, Holder holder) {
    return earmark.holder().urgency() == holder.urgency();
  }

  private Optional<UpstreamName> soonest(Collection<Candidate> candidates) {
    return candidates.stream()
        .filter(one -> !byEngine.containsKey(one.engine()))
        .filter(one -> !Double.isInfinite(one.millisUntilRoom()))
        .min(Comparator.comparingDouble(Candidate::millisUntilRoom))
        .map(Candidate::engine);
  }

  private Optional<UpstreamName> takeOver(Holder holder) {
    if (holder.isLate()) {
      return Optional.empty();
    }
    Optional<Earmark> oldestLate =
        byRequest.values().stream()
            .filter(it -> isOfRank(it, holder) && it.holder().isLate())
            .filter(it -> !it.holder().isMuchLargerThan(holder))
            .findFirst();
    oldestLate.ifPresent(earmark -> release(earmark.holder().request()));
    return oldestLate.map(Earmark::engine);
  }

  private void put(Earmark earmark) {
    byRequest.put(earmark.holder().request(), earmark);
    byEngine.put(earmark.engine(), earmark);
  }

  /** Records that the request of an earmark has missed its target. */
  public void targetMissed(RequestId request) {
    Earmark earmark = byRequest.get(request);
    if (earmark != null && !earmark.holder().isLate()) {
      put(new Earmark(earmark.holder().afterTarget(), earmark.engine()));
    }
  }

  /** Removes the earmark of a request that no longer waits. */
  public void release(RequestId request) {
    Earmark earmark = byRequest.remove(request);
    if (earmark != null) {
      byEngine.remove(earmark.engine());
    }
  }
}
