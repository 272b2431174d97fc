package org.marjoramsail.command.platform;

import java.util.List;
import java.util.Map;
import org.marjoramsail.standin.load.ArrivalLog;

/**
 * Result of a soak on the platform's path.
 *
 * @param kinds results of the requests, by kind
 * @param faults how often each kind of fault happened
 * @param retries for each service, the window with the most retries beyond what is allowed
 * @param ranTwice requests that ran more than once although they may not
 * @param falselyNotRun requests that ran although their callers were told that they did not
 */
public record PlatformSoakReport(
    List<KindCount> kinds,
    Map<PlatformFault, Integer> faults,
    Map<String, ArrivalLog.Window> retries,
    List<String> ranTwice,
    List<String> falselyNotRun) {

  /** Copies the collections, so that the value is immutable. */
  public PlatformSoakReport {
    kinds = List.copyOf(kinds);
    faults = Map.copyOf(faults);
    retries = Map.copyOf(retries);
    ranTwice = List.copyOf(ranTwice);
    falselyNotRun = List.copyOf(falselyNotRun);
  }

  /** Returns whether no rule was broken and requests of every kind were served. */
  public boolean isClean() {
    return kinds.stream().allMatch(kind -> kind.servedCount() > 0)
        && ranTwice.isEmpty()
        && falselyNotRun.isEmpty()
        && retries.values().stream().noneMatch(window -> window.excess() > 0);
  }
}
