package org.marjoramsail.command.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marjoramsail.standin.load.ArrivalLog;
import org.marjoramsail.standin.load.DrainLog;

/**
 * Result of a soak on the platform's path.
 *
 * @param load what callers sent
 * @param kinds results of the requests, by kind
 * @param losses how many requests had no response, by reason
 * @param faults how often each kind of fault happened
 * @param retries for each service, the window with the most retries beyond what is allowed
 * @param draining what arrived at servers that were leaving
 * @param streams which streams changed their software version, and which went on
 * @param ranTwice requests that ran more than once although they may not
 * @param falselyNotRun requests that ran although their callers were told that they did not
 * @param silence what became of responses whose servers paused
 * @param crashes what became of requests whose content crashes servers
 * @param unanswered calls without a complete response
 * @param departures what became of requests whose callers have left
 * @param responses responses that servers repeated, and those that broke a rule
 * @param storeReturn results of the requests soon after the store responded again
 * @param routes what daemons said of routes that were added or dropped
 */
public record PlatformSoakReport(
    Load load,
    List<KindCount> kinds,
    Map<LossReason, Integer> losses,
    Map<PlatformFault, Integer> faults,
    Map<String, ArrivalLog.Window> retries,
    Draining draining,
    Streams streams,
    List<String> ranTwice,
    List<String> falselyNotRun,
    Silence silence,
    Crashes crashes,
    Unanswered unanswered,
    Departures departures,
    Responses responses,
    StoreReturn storeReturn,
    Routes routes) {

  /** Share of the requests that have to be sent on time for a soak to prove something. */
  private static final double MINIMUM_ON_TIME = 0.9;

  /**
   * What callers sent.
   *
   * @param requests number of requests
   * @param late number of these that were sent after their time
   * @param stalls how often the soak itself stood still
   */
  public record Load(int requests, int late, int stalls) {
    /** Returns whether the fleet was offered the load that was asked for. */
    public boolean isOffered() {
      return requests - late >= MINIMUM_ON_TIME * requests;
    }
  }

  /**
   * What arrived at servers that were leaving.
   *
   * @param servers number of servers that left
   * @param arrivals requests that arrived after the store had acknowledged it
   * @param late those that arrived too late
   */
  public record Draining(int servers, int arrivals, List<DrainLog.LateArrival> late) {
    /** Copies the list, so that the value is immutable. */
    public Draining {
      late = List.copyOf(late);
    }
  }

  /**
   * Streams of callers that resume what is broken off. Counted are those at daemons that nothing
   * disturbed; of the resumed ones, those of a version that two engines serve.
   *
   * @param sent new streams
   * @param begun new streams with an event
   * @param resumed resumed streams
   * @param continued resumed streams with a further event
   * @param mixed all streams with events of several software versions, at any daemon
   */
  public record Streams(int sent, int begun, int resumed, int continued, List<String> mixed) {

    /** Number of resumed streams from which on their share is judged. */
    private static final int JUDGED = 12;

    /** Copies the list, so that the value is immutable. */
    public Streams {
      mixed = List.copyOf(mixed);
    }

    /** Returns whether resumed streams go on at least half as often as new ones begin. */
    boolean isContinuing() {
      return resumed < JUDGED || 2.0 * continued * sent >= (double) begun * resumed;
    }
  }

  /**
   * Responses of servers that sent nothing for a time and went on. Broken off counts what daemons
   * without a fault broke off, where the servers of the request did nothing but pause.
   *
   * @param brokenOff responses that were broken off before the deadline of their caller
   * @param atDeadline responses that were broken off later
   * @param repeats requests that daemons sent to a server after another one had paused
   * @param longGaps responses with a gap of more than 2 s, at any daemon
   * @param lost responses that were broken off before the deadline although no pause lasted for 2 s
   */
  public record Silence(
      int brokenOff, int atDeadline, int repeats, int longGaps, List<String> lost) {
    /** Copies the list, so that the value is immutable. */
    public Silence {
      lost = List.copyOf(lost);
    }
  }

  /**
   * Requests whose content crashes each server that runs them.
   *
   * @param contents number of contents
   * @param requests number of requests with one of these
   * @param crashes number of servers that they crashed
   * @param most the most servers that one content crashed
   * @param late requests that reached servers, from daemons without a fault, after a content had to
   *     be refused
   * @param excess contents with more of these than are allowed
   */
  public record Crashes(
      int contents, int requests, int crashes, int most, int late, List<String> excess) {
    /** Copies the list, so that the value is immutable. */
    public Crashes {
      excess = List.copyOf(excess);
    }
  }

  /**
   * Calls that were sent and ended without a complete response.
   *
   * @param stops how often daemons were told to stop
   * @param reloads how often daemons were told to read their settings again
   * @param lost calls that daemons lost
   * @param crossed calls that crossed the end of their connection or came behind an announced
   *     close, which do not count as lost
   * @param atDeadline calls that ended with the time of their caller, or with that of a stop
   * @param disturbed calls whose daemon, server or path was disturbed, or beside a standstill of
   *     the soak, which are not judged
   * @param notSent calls that found no connection, most of them refused
   */
  public record Unanswered(
      int stops,
      int reloads,
      List<UnansweredCall> lost,
      List<UnansweredCall> crossed,
      int atDeadline,
      List<UnansweredCall> disturbed,
      int notSent) {
    /** Copies the lists, so that the value is immutable. */
    public Unanswered {
      lost = List.copyOf(lost);
      crossed = List.copyOf(crossed);
      disturbed = List.copyOf(disturbed);
    }

    /** Returns the number of unanswered calls of a phase and a reason. */
    public long count(UnansweredCall.Phase phase, UnansweredCall.Reason reason) {
      return Stream.concat(lost.stream(), crossed.stream())
          .filter(call -> call.phase() == phase && call.reason() == reason)
          .count();
    }

    /** Returns the number of lost calls of each stop with lost calls. */
    public Map<String, Long> lostByStop() {
      return lost.stream()
          .filter(call -> call.phase() == UnansweredCall.Phase.STOP)
          .collect(
              Collectors.groupingBy(
                  call -> call.host() + " at " + call.signalMillis(),
                  TreeMap::new,
                  Collectors.counting()));
    }
  }

  /**
   * Requests whose callers closed their connections before the response was complete.
   *
   * @param requests number of these requests
   * @param arrivals how many of them reached a server after that, at any time
   * @param late those that reached a server more than half a second after that
   * @param interrupted streams on which a server worked as their callers left
   * @param continued those on which it still worked half a second later
   */
  public record Departures(
      int requests, int arrivals, List<String> late, int interrupted, List<String> continued) {

    private static final int MAXIMUM_LATE = 3;
    private static final double MAXIMUM_CONTINUED = 0.25;

    /** Copies the lists, so that the value is immutable. */
    public Departures {
      late = List.copyOf(late);
      continued = List.copyOf(continued);
    }

    /** Returns whether no more than a few requests and a quarter of the streams went on. */
    boolean isClean() {
      return late.size() <= MAXIMUM_LATE && continued.size() <= MAXIMUM_CONTINUED * interrupted;
    }
  }

  /**
   * Responses of servers, and what callers received of them.
   *
   * @param requests requests that reached servers
   * @param connections connections that were opened to servers
   * @param relayed requests that a host sent by another one
   * @param repeated how many responses servers sent a second time, by the kinds of these
   * @param met how many of these were sent while a request waited for its response
   * @param early how many responses preceded the rest of a long body, by kind
   * @param broken responses and requests that broke a rule
   */
  public record Responses(
      int requests,
      int connections,
      int relayed,
      Map<String, Integer> repeated,
      int met,
      Map<String, Integer> early,
      List<BrokenResponse> broken) {
    /** Copies the collections, so that the value is immutable. */
    public Responses {
      repeated = Map.copyOf(repeated);
      early = Map.copyOf(early);
      broken = List.copyOf(broken);
    }

    /** Returns the number of responses that servers sent a second time. */
    public int repeats() {
      return repeated.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /**
   * Results of the requests that were sent within 3 s after the store responded again. They are not
   * judged, as other faults go on meanwhile.
   *
   * @param returns how often the store responded again
   * @param requests number of requests
   * @param refused those that were refused as not run
   * @param failed those with another response than a success, or without a complete one
   */
  public record StoreReturn(int returns, int requests, int refused, int failed) {}

  /**
   * Requests that each daemon was sent for routes that were added or dropped.
   *
   * @param changes configurations with another number of routes
   * @param requests responses to these requests
   * @param judged those at a time without a disturbance of the daemon or the store
   * @param outdated those that only an older configuration allows
   */
  public record Routes(int changes, int requests, int judged, List<String> outdated) {
    /** Copies the list, so that the value is immutable. */
    public Routes {
      outdated = List.copyOf(outdated);
    }
  }

  /** Copies the collections, so that the value is immutable. */
  public PlatformSoakReport {
    kinds = List.copyOf(kinds);
    losses = Map.copyOf(losses);
    faults = Map.copyOf(faults);
    retries = Map.copyOf(retries);
    ranTwice = List.copyOf(ranTwice);
    falselyNotRun = List.copyOf(falselyNotRun);
  }

  /** Returns whether no rule was broken and requests of every kind were offered and served. */
  public boolean isClean() {
    return load.isOffered()
        && kinds.stream().allMatch(kind -> kind.servedCount() > 0)
        && draining.late().isEmpty()
        && streams.mixed().isEmpty()
        && streams.isContinuing()
        && ranTwice.isEmpty()
        && falselyNotRun.isEmpty()
        && silence.lost().isEmpty()
        && crashes.excess().isEmpty()
        && unanswered.lost().isEmpty()
        && departures.isClean()
        && responses.broken().isEmpty()
        && routes.outdated().isEmpty()
        && retries.values().stream().noneMatch(window -> window.excess() > 0);
  }
}
