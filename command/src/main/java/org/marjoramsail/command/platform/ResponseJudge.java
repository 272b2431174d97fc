package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;
import org.marjoramsail.platform.standin.LongBody;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerVisit;
import org.marjoramsail.platform.standin.StreamEvent;

/**
 * Matches each response that a caller received with the visit that made it. Judges at the end of a
 * soak, since a refused request may run later. Not thread-safe.
 */
final class ResponseJudge {

  private static final int SUCCESS_CLASS = 2;
  private static final int CLASS_SIZE = 100;

  /** Statuses which promise that the request has not run and never will. */
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  /** A request, and the response to it if one was received. */
  private static final class Call {
    private final String request;
    private final String path;
    private final String host;
    private final int lastEvent;
    private int port;
    private Optional<Answer> answer = Optional.empty();

    Call(String request, String path, String host, int lastEvent) {
      this.request = request;
      this.path = path;
      this.host = host;
      this.lastEvent = lastEvent;
    }

    boolean mayRunOnce() {
      return path.equals(PlatformStandIn.ONCE) || path.equals(PlatformStandIn.STREAM);
    }
  }

  private final Map<String, Call> calls = new LinkedHashMap<>();

  /**
   * Records that a caller sends a request.
   *
   * @param lastEvent the id of the last event that it has of a stream; 0 if it begins
   */
  void requested(String request, String path, String host, int lastEvent) {
    calls.put(request, new Call(request, path, host, lastEvent));
  }

  /** Records the port of the caller from which a request is sent. */
  void sent(String request, int port) {
    Optional.ofNullable(calls.get(request)).ifPresent(call -> call.port = port);
  }

  /** Records the response to a request, which may be broken off. */
  void answered(String request, Answer answer) {
    calls.get(request).answer = Optional.of(answer);
  }

  /** Returns what broke a rule, given all visits at servers. */
  List<BrokenResponse> broken(Collection<ServerVisit> visits) {
    Evidence evidence = new Evidence(visits);
    List<BrokenResponse> broken = new ArrayList<>();
    for (Call call : calls.values()) {
      evidence.judge(call, broken);
    }
    visits.forEach(visit -> evidence.judgeRequest(visit, broken));
    return broken;
  }

  private static boolean isSuccess(int status) {
    return status / CLASS_SIZE == SUCCESS_CLASS;
  }

  private static String header(Answer answer, String name) {
    return Optional.ofNullable(answer.headers().get(name)).orElse("");
  }

  /** All visits, by what identifies them. */
  private static final class Evidence {
    private final Map<String, ServerVisit> bySeal = new HashMap<>();
    private final Map<String, List<ServerVisit>> byRequest = new HashMap<>();
    private final Map<String, String> requestsOfHandles = new HashMap<>();

    Evidence(Collection<ServerVisit> visits) {
      for (ServerVisit visit : visits) {
        bySeal.put(visit.seal(), visit);
        byRequest.computeIfAbsent(visit.request(), request -> new ArrayList<>()).add(visit);
        if (visit.isPrefill() && visit.isComplete() && isSuccess(visit.status())) {
          requestsOfHandles.put(handle(visit.body()), visit.request());
        }
      }
    }

    private static String handle(String body) {
      String name = "\"handle_id\":\"";
      int from = body.indexOf(name) + name.length();
      return body.substring(from, body.indexOf('"', from));
    }

    void judge(Call call, List<BrokenResponse> broken) {
      call.answer
          .flatMap(answer -> ruleOf(call, answer))
          .ifPresent(rule -> broken.add(describe(rule, call)));
      List<ServerVisit> ran = own(call).stream().filter(ServerVisit::hasRun).toList();
      if (call.mayRunOnce() && ran.size() > 1) {
        broken.add(describe(ResponseRule.RAN_TWICE, call));
      }
      boolean isRefused =
          call.answer.filter(answer -> PROMISES.contains(answer.status())).isPresent();
      if (call.mayRunOnce() && isRefused && !ran.isEmpty()) {
        broken.add(describe(ResponseRule.REFUSED_AND_RAN, call));
      }
      if (own(call).stream().anyMatch(visit -> isOfAnotherPrefill(visit, call.request))) {
        broken.add(describe(ResponseRule.PREFILL_OF_ANOTHER_REQUEST, call));
      }
    }

    /** Judges what arrived as a request, whoever sent it. */
    void judgeRequest(ServerVisit visit, List<BrokenResponse> broken) {
      if (visit.request().isEmpty() || LongBody.isPartOfBody(visit.request())) {
        broken.add(describe(ResponseRule.BODY_TAKEN_FOR_REQUEST, visit));
      } else if (!visit.hasOwnBody()) {
        broken.add(describe(ResponseRule.REQUEST_WITH_OTHER_BYTES, visit));
      }
    }

    private boolean isOfAnotherPrefill(ServerVisit visit, String request) {
      return !visit.kvHandle().isEmpty()
          && !request.equals(requestsOfHandles.get(visit.kvHandle()));
    }

    private List<ServerVisit> own(Call call) {
      return byRequest.getOrDefault(call.request, List.of());
    }

    private Optional<ResponseRule> ruleOf(Call call, Answer answer) {
      boolean isSuccess = isSuccess(answer.status());
      String id = header(answer, CallerStandIn.ATTEMPT);
      ServerVisit visit = bySeal.get(header(answer, CallerStandIn.SEAL));
      boolean isForeign =
          (!id.isEmpty() && !id.equals(call.request))
              || (visit != null && !visit.request().equals(call.request));
      if (isForeign) {
        return Optional.of(
            isSuccess
                ? ResponseRule.SUCCESS_OF_ANOTHER_REQUEST
                : ResponseRule.FAILURE_OF_ANOTHER_REQUEST);
      }
      if (visit == null) {
        return withoutVisit(answer, isSuccess);
      }
      if (!isSuccess) {
        return ruleOfFailure(answer, visit);
      }
      return ruleOfSuccess(call, answer, visit);
    }

    private static Optional<ResponseRule> ruleOfFailure(Answer answer, ServerVisit visit) {
      return visit.status() != answer.status()
          ? Optional.of(ResponseRule.FAILURE_WITH_OTHER_STATUS)
          : Optional.of(ResponseRule.BODY_NOT_WHOLE).filter(rule -> !hasBodyOf(visit, answer));
    }

    /** A response, complete or broken off, has no bytes of the second one behind it. */
    private static boolean hasBodyOf(ServerVisit visit, Answer answer) {
      if (answer.whole()) {
        return visit.isComplete() && visit.body().equals(answer.body());
      }
      return visit.body().startsWith(answer.body())
          || (!visit.isComplete() && visit.repeat().isEmpty());
    }

    private static Optional<ResponseRule> withoutVisit(Answer answer, boolean isSuccess) {
      if (isSuccess) {
        return Optional.of(ResponseRule.SUCCESS_WITHOUT_VISIT);
      }
      return Optional.of(ResponseRule.FAILURE_OF_ANOTHER_REQUEST)
          .filter(rule -> answer.headers().contains(CallerStandIn.SEAL));
    }

    private Optional<ResponseRule> ruleOfSuccess(Call call, Answer answer, ServerVisit visit) {
      if (!isSuccess(visit.status()) || visit.isPrefill()) {
        return Optional.of(ResponseRule.SUCCESS_OF_FAILED_VISIT);
      }
      if (PlatformStandIn.isStream(call.path)) {
        return ruleOfStream(call, answer, visit);
      }
      return Optional.of(ResponseRule.BODY_NOT_WHOLE).filter(rule -> !hasBodyOf(visit, answer));
    }

    private Optional<ResponseRule> ruleOfStream(Call call, Answer answer, ServerVisit first) {
      List<StreamEvent> events = StreamEvent.in(answer.body());
      if (!isInOrder(call, events, first)) {
        return Optional.of(ResponseRule.EVENTS_NOT_IN_ORDER);
      }
      if (!StreamEvent.isBegin(StreamEvent.remainder(answer.body()))) {
        return Optional.of(ResponseRule.BODY_NOT_WHOLE);
      }
      boolean isWhole =
          StreamEvent.remainder(answer.body()).isEmpty()
              && (mayResume(call) ? own(call).stream() : Stream.of(first))
                  .anyMatch(visit -> isEndOf(visit, answer.body()));
      return Optional.of(ResponseRule.BODY_NOT_WHOLE).filter(rule -> answer.whole() && !isWhole);
    }

    /** Returns whether a visit completed a stream that a caller received. */
    private static boolean isEndOf(ServerVisit visit, String body) {
      String lastEvent = body.substring(Math.max(0, body.lastIndexOf("id: ")));
      return visit.isComplete()
          && !visit.isPrefill()
          && isSuccess(visit.status())
          && (visit.body().isEmpty() || (!body.isEmpty() && visit.body().endsWith(lastEvent)));
    }

    private static boolean mayResume(Call call) {
      return call.path.equals(PlatformStandIn.RESUMABLE);
    }

    private boolean isInOrder(Call call, List<StreamEvent> events, ServerVisit first) {
      int expected = call.lastEvent + 1;
      for (StreamEvent event : events) {
        boolean isOwn =
            visit(call, event).filter(made -> mayResume(call) || made.equals(first)).isPresent();
        if (event.id() != expected || !isOwn) {
          return false;
        }
        expected++;
      }
      return true;
    }

    /** Returns the visit whose response has an event; the second one has no event of its own. */
    private Optional<ServerVisit> visit(Call call, StreamEvent event) {
      String start = "seal." + event.visit().orElse("") + ".";
      String sent = "id: " + event.id() + "\n";
      return own(call).stream()
          .filter(visit -> visit.seal().startsWith(start) && visit.body().contains(sent))
          .findFirst();
    }

    /** Returns the visit before another one on its connection. */
    private Optional<ServerVisit> before(ServerVisit next) {
      return bySeal.values().stream()
          .filter(
              visit ->
                  visit.server().equals(next.server())
                      && visit.connection() == next.connection()
                      && visit.position() == next.position() - 1)
          .findFirst();
    }

    private BrokenResponse describe(ResponseRule rule, ServerVisit visit) {
      List<ServerVisit> visits = new ArrayList<>(List.of(visit));
      before(visit).ifPresent(visits::add);
      return new BrokenResponse(rule, visit.request(), "", 0, "no response", visits);
    }

    private BrokenResponse describe(ResponseRule rule, Call call) {
      List<ServerVisit> visits = new ArrayList<>(own(call));
      own(call).stream()
          .flatMap(visit -> before(visit).stream())
          .filter(visit -> !visits.contains(visit))
          .forEach(visits::add);
      call.answer
          .map(answer -> bySeal.get(header(answer, CallerStandIn.SEAL)))
          .filter(visit -> !visits.contains(visit))
          .ifPresent(visits::add);
      String received =
          call.answer
              .map(
                  answer ->
                      String.format(
                          "status %d, seal %s, id %s, %d bytes, %s",
                          answer.status(),
                          header(answer, CallerStandIn.SEAL),
                          header(answer, CallerStandIn.ATTEMPT),
                          answer.body().length(),
                          answer.whole() ? "complete" : "broken off"))
              .orElse("no response");
      return new BrokenResponse(rule, call.request, call.host, call.port, received, visits);
    }
  }
}
