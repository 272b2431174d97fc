package org.marjoramsail.daemon.placement;

import java.util.Comparator;
import java.util.List;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the queues of the owned shards: the waiting requests, the resources they wait for, and the
 * occupied slots of each upstream. Each shard has one line a second while a request waits in it.
 */
public final class QueueLog {

  private static final Logger LOG = LoggerFactory.getLogger(QueueLog.class);

  /** Shows a burst as it builds up, and adds little to the volume of the log. */
  private static final long INTERVAL_MILLIS = 1_000;

  private final Supplier<List<ShardView>> waiting;
  private final Clock clock;
  private long nextAtMillis;

  /** Creates a log of the owned shards in which requests wait at the time of each call. */
  public QueueLog(Supplier<List<ShardView>> waiting, Clock clock) {
    this.waiting = waiting;
    this.clock = clock;
  }

  /** Logs the queues if the interval has passed. */
  public void tick() {
    long now = clock.millis();
    if (now < nextAtMillis) {
      return;
    }
    nextAtMillis = now + INTERVAL_MILLIS;
    waiting.get().forEach(QueueLog::write);
  }

  private static void write(ShardView view) {
    LOG.atInfo()
        .addKeyValue("shard", view.shard().toString())
        .addKeyValue("waiting", view.waiting().size())
        .addKeyValue("running", view.running().size())
        .addKeyValue("missing", missing(view))
        .addKeyValue("longestMillis", longestMillis(view))
        .addKeyValue("largestTokens", largestTokens(view))
        .addKeyValue("upstreams", upstreams(view))
        .log("requests wait");
  }

  private static String missing(ShardView view) {
    return view.waiting().stream()
        .collect(
            Collectors.groupingBy(
                ShardView.WaitingView::missing, TreeMap::new, Collectors.counting()))
        .toString();
  }

  private static long longestMillis(ShardView view) {
    return view.waiting().stream().mapToLong(ShardView.WaitingView::waitedMillis).max().orElse(0);
  }

  /** Returns the largest memory of an engine that a waiting request needs, in tokens. */
  private static int largestTokens(ShardView view) {
    return view.waiting().stream().mapToInt(ShardView.WaitingView::memoryTokens).max().orElse(0);
  }

  /**
   * Formats each upstream with its role, its reserved and total slots, its planned and total memory
   * if it has one, the largest request on it, and its state.
   */
  private static String upstreams(ShardView view) {
    StringJoiner all = new StringJoiner("; ");
    for (ShardView.UpstreamView upstream : view.upstreams()) {
      all.add(
          upstream.name()
              + " "
              + upstream.role()
              + " "
              + upstream.reserved()
              + "/"
              + upstream.slots()
              + memory(view, upstream)
              + " "
              + upstream.state());
    }
    return all.toString();
  }

  private static String memory(ShardView view, ShardView.UpstreamView upstream) {
    if (upstream.memoryTokens() == 0 || upstream.role() != UpstreamRole.DECODE) {
      return "";
    }
    String largest =
        view.running().stream()
            .filter(running -> running.target().equals(upstream.name()))
            .max(Comparator.comparingInt(ShardView.RunningView::memoryTokens))
            .map(running -> ", largest " + running.memoryTokens() + " of " + running.request())
            .orElse("");
    return " " + upstream.plannedTokens() + "/" + upstream.memoryTokens() + " tokens" + largest;
  }
}
