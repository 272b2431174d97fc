package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerVisit;

/** Tests that responses are matched with the visits that made them. */
final class ResponseJudgeTest {

  private static final String REQUEST = "soak-1";
  private static final String OTHER = "soak-2";
  private static final int PORT = 4_711;
  private static final String BODY = "visit a.1 of a got 7 bytes";

  private final ResponseJudge judge = new ResponseJudge();

  @Test
  void aSuccessWithTheProofAndTheBodyOfItsVisitBreaksNothing() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY))).isEmpty();
  }

  @Test
  void aFailureWithTheProofAndTheStatusOfItsVisitBreaksNothing() {
    receives(PlatformStandIn.ONCE, answer(500, "seal.a.1.x", REQUEST, "failed", true));

    assertThat(rules(ran(REQUEST, "a.1", 500, "failed"))).isEmpty();
  }

  @Test
  void aRefusalOfTheDaemonAfterARejectionBreaksNothing() {
    receives(PlatformStandIn.ONCE, answer(503, "", REQUEST, "full", true));

    assertThat(rules(rejected(REQUEST, "a.1"))).isEmpty();
  }

  @Test
  void aSuccessThatIsBrokenOffWithinItsBodyBreaksNothing() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, "visit a.1", false));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY))).isEmpty();
  }

  @Test
  void aRequestThatMayBeRepeatedMayFailAtOneServerAndSucceedAtAnother() {
    receives(PlatformStandIn.REPEATABLE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(ran(REQUEST, "b.1", 500, "failed"), ran(REQUEST, "a.1", 200, BODY))).isEmpty();
  }

  /** Guards against a success that no server gave. */
  @Test
  void aSuccessWithoutAProofIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "", REQUEST, BODY, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.SUCCESS_WITHOUT_VISIT);
  }

  /** Guards against a success of another request under the identifier of the caller's. */
  @Test
  void aSuccessWithTheProofOfAnotherRequestIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(ran(OTHER, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.SUCCESS_OF_ANOTHER_REQUEST);
  }

  /** Guards against a success with the identifier of another request. */
  @Test
  void aSuccessWithTheIdentifierOfAnotherRequestIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", OTHER, BODY, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.SUCCESS_OF_ANOTHER_REQUEST);
  }

  /** Guards against a success where the server had responded with a failure. */
  @Test
  void aSuccessOfAVisitThatFailedIsFound() {
    receives(PlatformStandIn.REPEATABLE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(ran(REQUEST, "a.1", 500, "failed")))
        .containsExactly(ResponseRule.SUCCESS_OF_FAILED_VISIT);
  }

  /** Guards against a success where the server had rejected the request. */
  @Test
  void aSuccessOfAVisitThatWasRejectedIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(rejected(REQUEST, "a.1")))
        .containsExactly(ResponseRule.SUCCESS_OF_FAILED_VISIT);
  }

  /** Guards against the response to a prefill that reaches the caller. */
  @Test
  void aSuccessOfAPrefillIsFound() {
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, handle("h1"), true));

    assertThat(rules(prefilled(REQUEST, "a.1", "h1")))
        .containsExactly(ResponseRule.SUCCESS_OF_FAILED_VISIT);
  }

  /** Guards against a body that is cut and seems complete. */
  @Test
  void aBodyThatIsNotTheWholeOneOfItsVisitIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, "visit a.1", true));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY))).containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against a body that consists of a response and the one that follows it. */
  @Test
  void aBodyOfTwoResponsesOfAVisitIsFound() {
    String joined = "visit a.1 HTTP/1.1 200 OK\r\n";
    for (boolean isWhole : List.of(true, false)) {
      receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, joined, isWhole));

      assertThat(rules(brokenOff(REQUEST, "a.1", 200, "visit a.1 ")))
          .containsExactly(ResponseRule.BODY_NOT_WHOLE);
    }
  }

  /** Guards against a failure whose body consists of two responses. */
  @Test
  void aFailureWithABodyOfTwoResponsesIsFound() {
    receives(PlatformStandIn.ONCE, answer(500, "seal.a.1.x", REQUEST, "faiHTT", true));

    assertThat(rules(brokenOff(REQUEST, "a.1", 500, "fai")))
        .containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against a judge that takes a second response for the one that broke off before it. */
  @Test
  void aWholeResponseBehindOneThatBrokeOffIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(brokenOff(REQUEST, "a.1", 200, "visit a.1")))
        .containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against a second response of another outcome that is taken for the first one. */
  @Test
  void aSuccessBehindAFailureThatBrokeOffIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(brokenOff(REQUEST, "a.1", 500, "fai")))
        .containsExactly(ResponseRule.SUCCESS_OF_FAILED_VISIT);
  }

  /** Guards against a second response that is the success of the next request. */
  @Test
  void aWholeResponseBehindAnotherThatBrokeOffIsNoSuccessOfTheNextRequest() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(brokenOff(OTHER, "a.1", 200, "visit"), ran(REQUEST, "a.2", 200, BODY)))
        .containsExactly(ResponseRule.SUCCESS_OF_ANOTHER_REQUEST);
  }

  @Test
  void aResponseThatBreaksOffWhereItsServerBrokeItOffBreaksNothing() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, "visit", false));

    assertThat(rules(brokenOff(REQUEST, "a.1", 200, "visit a.1"))).isEmpty();
  }

  /** Guards against a failure under the proof of a visit that succeeded. */
  @Test
  void aFailureWithAnotherStatusThanItsVisitIsFound() {
    receives(PlatformStandIn.ONCE, answer(500, "seal.a.1.x", REQUEST, "failed", true));

    assertThat(rules(ran(REQUEST, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.FAILURE_WITH_OTHER_STATUS);
  }

  /** Guards against a failure of another request that bears no identifier. */
  @Test
  void aFailureWithTheProofOfAnotherRequestIsFound() {
    receives(PlatformStandIn.ONCE, answer(500, "seal.a.1.x", "", "failed", true));

    assertThat(rules(ran(OTHER, "a.1", 500, "failed")))
        .containsExactly(ResponseRule.FAILURE_OF_ANOTHER_REQUEST);
  }

  /** Guards against a second run of a request that may run once. */
  @Test
  void aRequestThatMayRunOnceAndRanTwiceIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(ran(REQUEST, "b.1", 500, "failed"), ran(REQUEST, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.RAN_TWICE);
  }

  /** Guards against a second run of a request whose caller got no response. */
  @Test
  void aRequestWithoutAResponseThatRanTwiceIsFound() {
    judge.requested(REQUEST, PlatformStandIn.ONCE, "host-1", 0);

    assertThat(rules(ran(REQUEST, "b.1", 500, "failed"), ran(REQUEST, "a.1", 200, BODY)))
        .containsExactly(ResponseRule.RAN_TWICE);
  }

  /** Guards against a promise that a request has not run, although it has. */
  @Test
  void aRequestThatRanAndIsRefusedIsFoundForEachStatusThatPromises() {
    for (int status : List.of(408, 421, 429, 503)) {
      receives(PlatformStandIn.ONCE, answer(status, "", REQUEST, "", true));

      assertThat(rules(ran(REQUEST, "a.1", 200, BODY)))
          .containsExactly(ResponseRule.REFUSED_AND_RAN);
    }
  }

  @Test
  void aWholeStreamOfOneVisitBreaksNothing() {
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, events("a.1", 1, 3), true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 1, 3)))).isEmpty();
  }

  @Test
  void aStreamThatIsBrokenOffBreaksNothing() {
    String part = events("a.1", 1, 2) + "id: 3\nda";
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, part, false));

    assertThat(rules(cut(REQUEST, "a.1", events("a.1", 1, 2)))).isEmpty();
  }

  @Test
  void aStreamThatIsResumedAtAnotherServerBreaksNothing() {
    String joined = events("a.1", 1, 2) + events("b.1", 3, 4);
    receives(PlatformStandIn.RESUMABLE, answer(200, "seal.a.1.x", REQUEST, joined, true));

    assertThat(
            rules(
                cut(REQUEST, "a.1", events("a.1", 1, 2)),
                ran(REQUEST, "b.1", 200, events("b.1", 3, 4))))
        .isEmpty();
  }

  @Test
  void aStreamThatItsCallerResumesBeginsAfterTheLastEvent() {
    judge.requested(REQUEST, PlatformStandIn.RESUMABLE, "host-1", 2);
    judge.answered(REQUEST, answer(200, "seal.a.1.x", REQUEST, events("a.1", 3, 4), true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 3, 4)))).isEmpty();
  }

  /** Guards against an event that is missing. */
  @Test
  void aStreamWithoutOneOfItsEventsIsFound() {
    String part = events("a.1", 1, 1) + events("a.1", 3, 3);
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, part, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 1, 3))))
        .containsExactly(ResponseRule.EVENTS_NOT_IN_ORDER);
  }

  /** Guards against an event that comes twice. */
  @Test
  void aStreamWithAnEventTwiceIsFound() {
    String repeated = events("a.1", 1, 2) + events("a.1", 2, 3);
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, repeated, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 1, 3))))
        .containsExactly(ResponseRule.EVENTS_NOT_IN_ORDER);
  }

  /** Guards against events of two visits in a stream that may not be resumed. */
  @Test
  void aStreamOfTwoVisitsThatMayNotBeResumedIsFound() {
    String joined = events("a.1", 1, 2) + events("b.1", 3, 4);
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, joined, true));

    assertThat(
            rules(
                cut(REQUEST, "a.1", events("a.1", 1, 2)),
                ran(REQUEST, "b.1", 200, events("b.1", 3, 4))))
        .containsExactly(ResponseRule.EVENTS_NOT_IN_ORDER, ResponseRule.RAN_TWICE);
  }

  /** Guards against events of another request. */
  @Test
  void aStreamWithEventsOfAnotherRequestIsFound() {
    String joined = events("a.1", 1, 2) + events("a.2", 3, 4);
    receives(PlatformStandIn.RESUMABLE, answer(200, "seal.a.1.x", REQUEST, joined, true));

    assertThat(
            rules(
                cut(REQUEST, "a.1", events("a.1", 1, 2)),
                ran(OTHER, "a.2", 200, events("a.2", 1, 4))))
        .containsExactly(ResponseRule.EVENTS_NOT_IN_ORDER);
  }

  /** Guards against events of the second response of a stream that breaks off. */
  @Test
  void aStreamThatContinuesWithItsSecondResponseIsFound() {
    String joined = events("a.1", 1, 4);
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, joined, false));

    assertThat(rules(brokenOff(REQUEST, "a.1", 200, events("a.1", 1, 2))))
        .containsExactly(ResponseRule.EVENTS_NOT_IN_ORDER);
  }

  /** Guards against a stream that breaks off with bytes of another response. */
  @Test
  void aStreamThatBreaksOffWithOtherBytesIsFound() {
    String joined = events("a.1", 1, 2) + "id: 3\ndaHTTP/1.1 200 OK\r\n";
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, joined, false));

    assertThat(rules(brokenOff(REQUEST, "a.1", 200, events("a.1", 1, 2))))
        .containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against a stream that ends as complete before its last event. */
  @Test
  void aStreamThatEndsAsCompleteTooEarlyIsFound() {
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, events("a.1", 1, 2), true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 1, 3))))
        .containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against bytes in a stream that are no event. */
  @Test
  void aStreamWithOtherBytesIsFound() {
    String strange = events("a.1", 1, 2) + "HTTP/1.1 200 OK\n" + events("a.1", 3, 3);
    receives(PlatformStandIn.STREAM, answer(200, "seal.a.1.x", REQUEST, strange, true));

    assertThat(rules(ran(REQUEST, "a.1", 200, events("a.1", 1, 3))))
        .containsExactly(ResponseRule.BODY_NOT_WHOLE);
  }

  /** Guards against a request that continues from the prefill of another one. */
  @Test
  void aRequestThatFetchesTheCacheOfAnotherOneIsFound() {
    judge.requested(REQUEST, PlatformStandIn.STREAM, "host-1", 0);

    assertThat(rules(prefilled(OTHER, "p.1", "h1"), fetched(REQUEST, "a.1", "h1")))
        .containsExactly(ResponseRule.PREFILL_OF_ANOTHER_REQUEST);
  }

  /** Guards against a prefill that is taken from a response that broke off. */
  @Test
  void aRequestThatFetchesACacheThatNoCompleteResponseNamedIsFound() {
    judge.requested(REQUEST, PlatformStandIn.STREAM, "host-1", 0);

    assertThat(rules(fetched(REQUEST, "a.1", "h1")))
        .containsExactly(ResponseRule.PREFILL_OF_ANOTHER_REQUEST);
  }

  @Test
  void aRequestThatFetchesItsOwnCacheBreaksNothing() {
    judge.requested(REQUEST, PlatformStandIn.STREAM, "host-1", 0);

    assertThat(rules(prefilled(REQUEST, "p.1", "h1"), fetched(REQUEST, "a.1", "h1"))).isEmpty();
  }

  /** Guards against a report that does not say which visits a break concerns. */
  @Test
  void aBreakIsDescribedWithItsVisitAndTheOneBeforeItOnTheConnection() {
    receives(PlatformStandIn.ONCE, answer(500, "seal.a.1.x", "", "failed", true));

    List<BrokenResponse> broken =
        judge.broken(
            List.of(
                visit(OTHER, "a.1", 1, false, true, 500, "", "failed", true),
                visit(REQUEST, "a.2", 2, false, true, 200, "", BODY, true)));

    assertThat(broken).singleElement().asString().contains("host-1", "4711", "a.1", "a.2", OTHER);
  }

  /** Guards against the rest of a long body that a server takes for a request. */
  @Test
  void aRequestThatIsAPartOfABodyIsFound() {
    assertThat(rules(ran("body-of-soak-1", "a.1", 200, BODY)))
        .containsExactly(ResponseRule.BODY_TAKEN_FOR_REQUEST);
  }

  /** Guards against the rest of a body that is read as a malformed request and not reported. */
  @Test
  void aRequestWithoutAnIdentifierIsFound() {
    assertThat(rules(visit("", "a.1", 1, false, false, 0, "", "", false)))
        .containsExactly(ResponseRule.BODY_TAKEN_FOR_REQUEST);
  }

  /** Guards against a request that is taken for the rest of the body of the one before it. */
  @Test
  void aRequestWithTheBytesOfAnotherOneIsFound() {
    receives(PlatformStandIn.ONCE, answer(200, "seal.a.1.x", REQUEST, BODY, true));

    assertThat(rules(withOtherBytes(ran(REQUEST, "a.1", 200, BODY))))
        .containsExactly(ResponseRule.REQUEST_WITH_OTHER_BYTES);
  }

  private void receives(String path, Answer answer) {
    judge.requested(REQUEST, path, "host-1", 0);
    judge.sent(REQUEST, PORT);
    judge.answered(REQUEST, answer);
  }

  private List<ResponseRule> rules(ServerVisit... visits) {
    return judge.broken(List.of(visits)).stream().map(BrokenResponse::rule).toList();
  }

  private static Answer answer(int status, String seal, String id, String body, boolean whole) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    if (!seal.isEmpty()) {
      headers.set("response-seal", seal);
    }
    if (!id.isEmpty()) {
      headers.set("attempt-id", id);
    }
    return new Answer(status, headers, body, whole, 0);
  }

  private static ServerVisit ran(String request, String name, int status, String body) {
    return visit(request, name, 1, false, true, status, "", body, true);
  }

  private static ServerVisit cut(String request, String name, String body) {
    return visit(request, name, 1, false, true, 200, "", body, false);
  }

  private static ServerVisit brokenOff(String request, String name, int status, String body) {
    ServerVisit cut = visit(request, name, 1, false, true, status, "", body, false);
    return changed(cut, "at-once whole same with-id first-breaks-off at 1", true);
  }

  private static ServerVisit rejected(String request, String name) {
    return visit(request, name, 1, false, false, 503, "", "", true);
  }

  private static ServerVisit prefilled(String request, String name, String handle) {
    return visit(request, name, 1, true, false, 200, "", handle(handle), true);
  }

  private static ServerVisit fetched(String request, String name, String handle) {
    return visit(request, name, 1, false, true, 200, handle, "", true);
  }

  private static ServerVisit withOtherBytes(ServerVisit visit) {
    return changed(visit, "", false);
  }

  private static ServerVisit changed(ServerVisit visit, String repeat, boolean hasOwnBody) {
    return new ServerVisit(
        visit.request(),
        visit.server(),
        visit.connection(),
        visit.position(),
        visit.arrivedAtMillis(),
        visit.isPrefill(),
        visit.hasRun(),
        visit.status(),
        visit.seal(),
        visit.kvHandle(),
        visit.body(),
        repeat,
        visit.isComplete(),
        hasOwnBody);
  }

  private static ServerVisit visit(
      String request,
      String name,
      int position,
      boolean isPrefill,
      boolean hasRun,
      int status,
      String kvHandle,
      String body,
      boolean isComplete) {
    String server = name.substring(0, name.indexOf('.'));
    return new ServerVisit(
        request,
        server,
        1,
        position,
        0,
        isPrefill,
        hasRun,
        status,
        "seal." + name + ".x",
        kvHandle,
        body,
        "",
        isComplete,
        true);
  }

  private static String handle(String name) {
    return "{\"handle_id\":\"" + name + "\"}";
  }

  private static String events(String visit, int first, int last) {
    StringBuilder events = new StringBuilder();
    for (int id = first; id <= last; id++) {
      events.append("id: ").append(id).append("\ndata: piece ").append(id);
      events.append(" of v1 in ").append(visit).append("\n\n");
    }
    return events.toString();
  }
}
