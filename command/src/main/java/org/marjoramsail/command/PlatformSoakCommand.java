package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.command.platform.BrokenResponse;
import org.marjoramsail.command.platform.KindCount;
import org.marjoramsail.command.platform.PlatformFault;
import org.marjoramsail.command.platform.PlatformSoak;
import org.marjoramsail.command.platform.PlatformSoakReport;
import org.marjoramsail.command.platform.PlatformSoakSetup;
import org.marjoramsail.command.platform.UnansweredCall;
import org.marjoramsail.core.failure.MarjoramsailException;

/** Runs daemons as processes under faults before stand-ins of the users' platform. */
@Command(
    name = "platform-soak",
    description =
        "Runs daemons as processes before stand-ins of the users' platform while they fail.")
@Discussion(
    paragraphs = {
      "Daemons are killed, paused and stopped, servers fail and are replaced, network paths to"
          + " servers and to the store are cut, and the store does not respond, in random order and"
          + " overlapping. The servers count what arrives: the retries of the whole fleet in any 10"
          + " seconds, requests that ran twice, requests that ran although their callers were told"
          + " that they had not, and requests that arrive more than 2 seconds after the store knew"
          + " that their server leaves.",
      "Servers also pause, beside changes of timeouts: a response that a daemon broke off although"
          + " its server did nothing but pause for less than 2 seconds is lost by silence.",
      "Contents that crash each server that runs them come again and again. More than 3 seconds"
          + " after its third crash, a content may reach servers three times more.",
      "Calls without a complete response are lost when they had reached a server, or were sent more"
          + " than 200 ms before their connection ended: at daemons that stop, that read their"
          + " settings again, and that do neither. Calls beside an unplanned disturbance of their"
          + " daemon, their server or a path do not count, nor do those at the deadline of their"
          + " caller.",
      "Some callers keep connections to every daemon busy until its process is gone. Half of them"
          + " ignore that a response announces the close of its connection; what they send behind"
          + " it is lost only when it had reached a server.",
      "Some callers leave before their response is complete, half of them at once. No more than"
          + " three of their requests may reach a server over half a second later, and servers may"
          + " still work on a quarter of the interrupted streams then.",
      "Servers send responses a second time, also late, cut, with another outcome or without an"
          + " identifier, and respond to long requests before they read the body, or behind a"
          + " response that breaks off. Each response"
          + " that a caller receives is matched by its status, proof,"
          + " identifier and body with the visit of a server that made it; each request that a"
          + " server receives is compared with what its caller sent.",
      "Where configurations with other numbers of routes come into force, each daemon is asked"
          + " directly for routes that were added or dropped. Two seconds after a configuration was"
          + " written, a daemon without disturbance may no longer respond as only an older one"
          + " allows.",
      "Ends with 3 when a rule was broken, when no request of a kind was served, or when fewer than"
          + " nine tenths of the requests were sent on time."
    })
@Examples(
    examples = {
      "marjoramsail platform-soak",
      "marjoramsail platform-soak --daemons 63 --prefill 14 --decode 28 --plain 5 --slack 166"
          + " --streams 44 --requests 179 --seconds 60"
    },
    descriptions = {"Twelve daemons for thirty seconds", "A fleet of 63 daemons for a minute"})
public final class PlatformSoakCommand implements CommandAction {

  private static final int MOST_DAEMONS = 100;
  private static final int MOST_SERVERS = 500;
  private static final int MOST_SECONDS = 3_600;
  private static final int MOST_RATE = 2_000;
  private static final int MOST_SLACK = 100_000;
  private static final int MOST_PATH_MILLIS = 1_000;
  private static final String FAULTS = "--faults";

  @Option(name = "--daemons", title = "COUNT", description = "daemons, 1 to 100; default 12")
  private int daemons = 12;

  @Option(name = "--prefill", title = "COUNT", description = "prefill engines; default 4")
  private int prefillServers = 4;

  @Option(name = "--decode", title = "COUNT", description = "decode engines; default 8")
  private int decodeServers = 8;

  @Option(name = "--plain", title = "COUNT", description = "plain servers; default 3")
  private int plainServers = 3;

  @Option(
      name = "--slack",
      title = "RETRIES",
      description = "retries in 10 seconds in addition to the ratio; default 60")
  private int retrySlack = 60;

  @Option(name = "--streams", title = "REQUESTS", description = "streams a second; default 12")
  private int streams = 12;

  @Option(
      name = "--requests",
      title = "REQUESTS",
      description = "plain requests a second; default 30")
  private int plainRequests = 30;

  @Option(
      name = "--path-millis",
      title = "MILLISECONDS",
      description =
          "time from callers to daemons, from daemons to servers, and back, 0 to 1000; default 0")
  private int pathMillis;

  @Option(
      name = "--kept",
      title = "REQUESTS",
      description = "most requests a second on connections that are kept busy; default 20")
  private int keptRequests = 20;

  @Option(
      name = "--leaving",
      title = "REQUESTS",
      description = "requests a second whose callers leave before the response; default 20")
  private int leavingRequests = 20;

  @Option(name = "--seconds", title = "SECONDS", description = "how long, 1 to 3600; default 30")
  private int seconds = 30;

  @Option(name = "--seed", title = "NUMBER", description = "seed of load and faults; default 1")
  private long seed = 1;

  @Option(
      name = FAULTS,
      title = "KINDS",
      description = "which faults happen: all, none, or kinds joined by commas; default all")
  private String faults = "all";

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    PlatformSoakSetup setup = setup();
    Path directory;
    try {
      directory = ProcessDaemons.newDirectory();
    } catch (IOException failure) {
      throw new FleetException("make a directory for its processes", failure);
    }
    surroundings.errors().println("Settings and logs of the daemons are in " + directory);
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      Runtime.getRuntime().addShutdownHook(new Thread(processes::close));
      PlatformSoakReport report = new PlatformSoak(surroundings.clock(), processes).run(setup);
      print(report, surroundings.output());
      return report.isClean() ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
    }
  }

  private PlatformSoakSetup setup() throws UsageException {
    require("--daemons", daemons, 1, MOST_DAEMONS);
    require("--prefill", prefillServers, 1, MOST_SERVERS);
    require("--decode", decodeServers, 1, MOST_SERVERS);
    require("--plain", plainServers, 1, MOST_SERVERS);
    require("--slack", retrySlack, 0, MOST_SLACK);
    require("--streams", streams, 0, MOST_RATE);
    require("--requests", plainRequests, 1, MOST_RATE);
    require("--path-millis", pathMillis, 0, MOST_PATH_MILLIS);
    require("--kept", keptRequests, 0, MOST_RATE);
    require("--leaving", leavingRequests, 0, MOST_RATE);
    require("--seconds", seconds, 1, MOST_SECONDS);
    return new PlatformSoakSetup(
        daemons,
        prefillServers,
        decodeServers,
        plainServers,
        retrySlack,
        streams,
        plainRequests,
        seconds,
        seed,
        chosenFaults(),
        pathMillis,
        keptRequests,
        leavingRequests);
  }

  private List<PlatformFault> chosenFaults() throws UsageException {
    if (faults.equals("none")) {
      return List.of();
    }
    if (faults.equals("all")) {
      return List.of(PlatformFault.values());
    }
    List<PlatformFault> chosen = new ArrayList<>();
    for (String code : faults.split(",", -1)) {
      chosen.add(Choice.of(FAULTS, code, PlatformFault.values(), PlatformFault::code));
    }
    return chosen;
  }

  private void print(PlatformSoakReport report, PrintStream output) {
    output.printf(
        "seed %d: %d requests, %d of them sent late; the soak itself stood still %d times%n",
        seed, report.load().requests(), report.load().late(), report.load().stalls());
    for (KindCount kind : report.kinds()) {
      output.println(kind);
    }
    report
        .losses()
        .forEach((reason, count) -> output.printf("lost, %-20s %3d%n", reason.code(), count));
    report.faults().forEach((fault, count) -> output.printf("%-20s %3d%n", fault.code(), count));
    report
        .retries()
        .forEach(
            (service, worst) ->
                output.printf(
                    "retries to %s in the worst 10 s: %d, allowed %.0f%n",
                    service, worst.retries(), worst.allowed()));
    output.printf(
        "%d servers left; %d requests arrived after that%n",
        report.draining().servers(), report.draining().arrivals());
    report
        .draining()
        .late()
        .forEach(
            late ->
                output.printf(
                    "arrived too late: %s from %s at %s after %d ms%n",
                    late.request(), late.host(), late.upstream(), late.afterMillis()));
    output.printf(
        "%d of %d new streams began, %d of %d resumed streams went on%n",
        report.streams().begun(),
        report.streams().sent(),
        report.streams().continued(),
        report.streams().resumed());
    report.streams().mixed().forEach(mixed -> output.println("several versions in " + mixed));
    report.ranTwice().forEach(request -> output.println("ran twice: " + request));
    report
        .falselyNotRun()
        .forEach(request -> output.println("ran although refused as not run: " + request));
    printSilence(report.silence(), output);
    printCrashes(report.crashes(), output);
    printUnanswered(report.unanswered(), output);
    printDepartures(report.departures(), output);
    printStoreReturn(report.storeReturn(), output);
    printResponses(report.responses(), output);
    printRoutes(report.routes(), output);
    output.println(report.isClean() ? "The soak is clean." : "The soak is BROKEN.");
  }

  private static void printRoutes(PlatformSoakReport.Routes routes, PrintStream output) {
    output.printf(
        "routes: %d changes, %d requests, %d judged, %d as only an older configuration allows%n",
        routes.changes(), routes.requests(), routes.judged(), routes.outdated().size());
    routes.outdated().forEach(output::println);
  }

  private static void printResponses(PlatformSoakReport.Responses responses, PrintStream output) {
    output.printf(
        "%d requests reached servers, %d of them relayed; %.3f new connections a request%n",
        responses.requests(),
        responses.relayed(),
        (double) responses.connections() / Math.max(1, responses.requests()));
    output.printf(
        "%d responses sent a second time, %d of them while a request waited%n",
        responses.repeats(), responses.met());
    new TreeMap<>(responses.repeated())
        .forEach((kind, count) -> output.printf("repeated, %-55s %4d%n", kind, count));
    new TreeMap<>(responses.early())
        .forEach((kind, count) -> output.printf("before the body, %-47s %4d%n", kind, count));
    responses.broken().stream()
        .collect(Collectors.groupingBy(BrokenResponse::rule, TreeMap::new, Collectors.counting()))
        .forEach((rule, count) -> output.printf("BROKEN %s: %d%n", rule.code(), count));
    responses.broken().forEach(broken -> output.println("broken rule " + broken));
  }

  private static void printSilence(PlatformSoakReport.Silence silence, PrintStream output) {
    output.printf(
        "silent servers: %d responses broken off, %d more at their deadline, %d repeats,"
            + " %d gaps longer than 2 s%n",
        silence.brokenOff(), silence.atDeadline(), silence.repeats(), silence.longGaps());
    silence.lost().forEach(lost -> output.println("lost by silence: " + lost));
  }

  private static void printCrashes(PlatformSoakReport.Crashes crashes, PrintStream output) {
    output.printf(
        "crashing contents: %d with %d requests; %d servers crashed, at most %d by one; %d sent"
            + " too late%n",
        crashes.contents(), crashes.requests(), crashes.crashes(), crashes.most(), crashes.late());
    crashes.excess().forEach(excess -> output.println("crashing content sent on: " + excess));
  }

  private static void printUnanswered(
      PlatformSoakReport.Unanswered unanswered, PrintStream output) {
    output.printf(
        "%d stops, %d reloads; calls without a complete response: %d at their deadline, %d beside"
            + " disturbances, %d not sent%n",
        unanswered.stops(),
        unanswered.reloads(),
        unanswered.atDeadline(),
        unanswered.disturbed().size(),
        unanswered.notSent());
    for (UnansweredCall.Phase phase : UnansweredCall.Phase.values()) {
      output.printf("calls without a response, %s:", phase.code());
      for (UnansweredCall.Reason reason : UnansweredCall.Reason.values()) {
        output.printf(" %d %s", unanswered.count(phase, reason), reason.code());
      }
      output.println();
    }
    unanswered
        .lostByStop()
        .forEach((stop, calls) -> output.printf("lost calls, stop of %s: %d%n", stop, calls));
    unanswered.lost().forEach(lost -> output.println("lost call: " + lost));
    unanswered.crossed().forEach(crossed -> output.println("not counted: " + crossed));
    unanswered
        .disturbed()
        .forEach(disturbed -> output.println("not judged, beside a disturbance: " + disturbed));
  }

  private static void printDepartures(
      PlatformSoakReport.Departures departures, PrintStream output) {
    output.printf(
        "%d callers left; %d requests arrived after that, %d of them over 0.5 s later; servers"
            + " still worked on %d of %d streams%n",
        departures.requests(),
        departures.arrivals(),
        departures.late().size(),
        departures.continued().size(),
        departures.interrupted());
    departures.late().forEach(late -> output.println("arrived for a departed caller: " + late));
    departures
        .continued()
        .forEach(stream -> output.println("still at work for a departed caller: " + stream));
  }

  private static void printStoreReturn(
      PlatformSoakReport.StoreReturn storeReturn, PrintStream output) {
    output.printf(
        "the store responded again %d times; of %d requests in the 3 s after it %d were refused and"
            + " %d failed%n",
        storeReturn.returns(), storeReturn.requests(), storeReturn.refused(), storeReturn.failed());
  }

  private static void require(String option, int value, int least, int most) throws UsageException {
    if (value < least || value > most) {
      throw new UsageException(option, Integer.toString(value), least + " to " + most);
    }
  }
}
