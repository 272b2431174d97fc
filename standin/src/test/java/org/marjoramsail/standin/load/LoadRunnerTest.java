package org.marjoramsail.standin.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.standin.load.FakeTarget.Behaviour.ANSWER;
import static org.marjoramsail.standin.load.FakeTarget.Behaviour.REFUSE;
import static org.marjoramsail.standin.load.FakeTarget.Behaviour.SILENCE;
import static org.marjoramsail.standin.load.FakeTarget.Behaviour.STREAM;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LoadRunnerTest {

  private static final long UNREACHED_DEADLINE_MILLIS = 15_000;
  private static final LoadTarget UNREACHABLE =
      new LoadTarget("unreachable", "127.0.0.1", 1, Optional.empty());

  private final ExpectedResponse expected =
      new ExpectedResponse() {
        @Override
        public List<String> completion(PlannedRequest request) {
          return FakeTarget.TOKENS;
        }

        @Override
        public boolean isPlainAnswer(
            PlannedRequest request, Optional<String> requestId, String body) {
          return body.equals("answer to " + request.path());
        }
      };

  private Vertx vertx;

  @BeforeEach
  void startVertx() {
    vertx = Vertx.vertx();
  }

  @AfterEach
  void stopVertx() throws Exception {
    await(vertx.close());
  }

  @ParameterizedTest
  @CsvSource({
    "STREAM, COMPLETED, 3",
    "CUT_STREAM, CUT, 1",
    "SHORT_STREAM, WRONG, 2",
    "CROSSED_STREAM, WRONG, 1",
    "REPEATED_TOKEN, ANSWERED_TWICE, 1",
    "SECOND_END, ANSWERED_TWICE, 3",
    "STREAM_THEN_ERROR, FAILED, 1",
    "REFUSE, REFUSED, 0",
    "UNTYPED_ERROR, UNTYPED, 0",
    "CLOSE, CUT, 0",
    "SILENCE, LOST, 0"
  })
  void eachWayToAnswerAStreamHasItsEnd(FakeTarget.Behaviour behaviour, RequestEnd end, int tokens)
      throws Exception {
    long deadlineMillis = behaviour == SILENCE ? 100 : UNREACHED_DEADLINE_MILLIS;
    RequestOutcome outcome = send(generation(true, Optional.empty(), deadlineMillis), behaviour);

    assertThat(outcome.end()).as(outcome.detail()).isEqualTo(end);
    assertThat(outcome.tokens()).isEqualTo(tokens);
  }

  @Test
  void aWholeCompletionIsCheckedToo() throws Exception {
    assertThat(send(generation(false, Optional.empty(), UNREACHED_DEADLINE_MILLIS), ANSWER).end())
        .isEqualTo(RequestEnd.COMPLETED);
  }

  @Test
  void anAnswerToAnotherRequestIsWrong() throws Exception {
    assertThat(send(lookup("7"), STREAM).end()).isNotEqualTo(RequestEnd.COMPLETED);
    assertThat(send(lookup("7"), ANSWER).end()).isEqualTo(RequestEnd.COMPLETED);
  }

  @Test
  void aRefusalKeepsItsReasonAndWhatItSaysOfTheRun() throws Exception {
    RequestOutcome outcome = send(lookup("7"), REFUSE);

    assertThat(outcome.reason()).contains("queue-full");
    assertThat(outcome.isToldNotRun()).isTrue();
    assertThat(outcome.requestId()).contains("request-1");
  }

  @Test
  void aCallerWhoGivesUpIsNeitherLostNorCut() throws Exception {
    assertThat(send(generation(true, Optional.of(5L), UNREACHED_DEADLINE_MILLIS), SILENCE).end())
        .isEqualTo(RequestEnd.CANCELLED);
  }

  @Test
  void aTargetThatTakesNoConnectionIsPassedOver() throws Exception {
    LoadTarget good = await(new FakeTarget(vertx, ANSWER).start());
    List<RequestOutcome> outcomes = run(List.of(UNREACHABLE, good), fourLookups());

    assertThat(outcomes).extracting(RequestOutcome::end).containsOnly(RequestEnd.COMPLETED);
  }

  @Test
  void withoutAnyTargetNothingIsSent() throws Exception {
    List<RequestOutcome> outcomes = run(List.of(UNREACHABLE), fourLookups());

    assertThat(outcomes).hasSize(4);
    assertThat(outcomes).extracting(RequestOutcome::end).containsOnly(RequestEnd.NOT_SENT);
  }

  private RequestOutcome send(PlannedRequest request, FakeTarget.Behaviour behaviour)
      throws Exception {
    LoadTarget target = await(new FakeTarget(vertx, behaviour).start());
    return run(List.of(target), List.of(request)).get(0);
  }

  private List<RequestOutcome> run(List<LoadTarget> targets, List<PlannedRequest> requests)
      throws Exception {
    LoadRunnerOptions options = new LoadRunnerOptions(2, 0, 100, 10);
    long origin = System.nanoTime();
    LoadRunner runner =
        new LoadRunner(
            vertx,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin),
            expected,
            options);
    return await(runner.run(targets, requests));
  }

  private static List<PlannedRequest> fourLookups() {
    List<PlannedRequest> lookups = new ArrayList<>();
    for (int each = 0; each < 4; each++) {
      lookups.add(lookup("hearing-" + each));
    }
    return lookups;
  }

  private static PlannedRequest lookup(String reference) {
    return planned(
        RequestKind.HEARING_DATE,
        reference,
        false,
        Optional.empty(),
        Optional.empty(),
        UNREACHED_DEADLINE_MILLIS);
  }

  private static PlannedRequest generation(
      boolean streamed, Optional<Long> cancelAfter, long deadlineMillis) {
    Prompt prompt = new Prompt(1, 2, 3, 4, "?");
    return planned(
        RequestKind.FILING_SUMMARY,
        "filing",
        streamed,
        Optional.of(prompt),
        cancelAfter,
        deadlineMillis);
  }

  private static PlannedRequest planned(
      RequestKind kind,
      String reference,
      boolean streamed,
      Optional<Prompt> prompt,
      Optional<Long> cancelAfter,
      long deadlineMillis) {
    return new PlannedRequest(
        0,
        0,
        "centro",
        "token",
        kind,
        reference,
        streamed,
        prompt,
        FakeTarget.TOKENS.size(),
        Optional.empty(),
        cancelAfter,
        deadlineMillis);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }
}
