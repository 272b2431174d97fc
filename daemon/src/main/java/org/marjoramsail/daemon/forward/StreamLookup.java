package org.marjoramsail.daemon.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.stream.StreamKnowledge;

/**
 * Search for the origin of one stream among other daemons. Not thread-safe.
 *
 * <p>Daemons without a record are asked once more: the record may be on its way to them when they
 * are asked for the first time.
 */
final class StreamLookup {

  /** Result of a search, with the daemon that had the record. */
  record Result(StreamKnowledge knowledge, Optional<DaemonId> source) {
    static final Result NONE = new Result(StreamKnowledge.NONE, Optional.empty());
  }

  private static final int ROUNDS = 2;

  private final List<Consumer<Result>> listeners = new ArrayList<>(1);
  private final Set<DaemonId> pending = new HashSet<>();
  private int round;

  /** Adds a listener for the result. */
  void listen(Consumer<Result> listener) {
    listeners.add(listener);
  }

  /** Returns all listeners. */
  List<Consumer<Result>> listeners() {
    return List.copyOf(listeners);
  }

  /** Starts another round of queries; responses to earlier ones still count. */
  void ask(List<DaemonId> daemons) {
    round++;
    pending.clear();
    pending.addAll(daemons);
  }

  /** Records a response; returns the result if it ends the search. */
  Optional<Result> responded(DaemonId from, StreamKnowledge knowledge) {
    if (knowledge.isAny()) {
      return Optional.of(new Result(knowledge, Optional.of(from)));
    }
    pending.remove(from);
    return pending.isEmpty() && round >= ROUNDS ? Optional.of(Result.NONE) : Optional.empty();
  }
}
