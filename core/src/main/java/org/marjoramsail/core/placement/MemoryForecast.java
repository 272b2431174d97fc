package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.model.RequestId;

/**
 * Foretells how much memory the requests on one decode upstream will need at most.
 *
 * <p>A request takes its prompt at once and grows by each token until it ends, when all of it is
 * free again. Were each counted with its full length from the start, a tenth of the memory would
 * stay idle; were each counted as it is now, they would outgrow the memory together, and the
 * upstream would preempt one and read its prompt again. So the need is worked out at each moment at
 * which a request is expected to end, with the lengths that all others have by then.
 */
final class MemoryForecast {

  /** What a request that has outgrown its expectation still grows by, in tokens. */
  private static final int OVERDUE_TOKENS = 120;

  private static final long NOT_BEGUN = Long.MAX_VALUE;

  private static final class Growing {
    private final int promptTokens;
    private final int expectedTokens;
    private long generatingSince = NOT_BEGUN;

    Growing(int promptTokens, int expectedTokens) {
      this.promptTokens = promptTokens;
      this.expectedTokens = expectedTokens;
    }

    double generated(long nowMillis, double millisPerToken) {
      return generatingSince == NOT_BEGUN
          ? 0
          : Math.max(0, nowMillis - generatingSince) / millisPerToken;
    }
  }

  /** One request as it stands now: what it holds and how much it will still grow. */
  private record Standing(double held, double left) {}

  private final Map<RequestId, Growing> growing = new HashMap<>();

  /** Takes a request that is to run here. */
  void add(RequestId request, int promptTokens, int expectedTokens) {
    growing.put(request, new Growing(promptTokens, expectedTokens));
  }

  /** Takes that a request generates from now on. */
  void generating(RequestId request, long nowMillis) {
    Growing known = growing.get(request);
    if (known != null && known.generatingSince == NOT_BEGUN) {
      known.generatingSince = nowMillis;
    }
  }

  /** Takes that a request holds nothing here any more. */
  void remove(RequestId request) {
    growing.remove(request);
  }

  /**
   * The most memory that all of them and one more will need at one time, in tokens.
   *
   * @param millisPerToken how long a token takes
   */
  double peakWith(int promptTokens, int expectedTokens, long nowMillis, double millisPerToken) {
    List<Standing> all = new ArrayList<>(growing.size() + 1);
    all.add(new Standing(promptTokens, expectedTokens));
    for (Growing one : growing.values()) {
      double generated = one.generated(nowMillis, millisPerToken);
      double left = Math.max(OVERDUE_TOKENS, one.expectedTokens - generated);
      all.add(new Standing(one.promptTokens + generated, left));
    }
    all.sort(Comparator.comparingDouble(Standing::left));
    double heldByLater = all.stream().mapToDouble(Standing::held).sum();
    double peak = 0;
    for (int position = 0; position < all.size(); position++) {
      Standing ending = all.get(position);
      int alive = all.size() - position;
      peak = Math.max(peak, heldByLater + alive * ending.left());
      heldByLater -= ending.held();
    }
    return peak;
  }
}
