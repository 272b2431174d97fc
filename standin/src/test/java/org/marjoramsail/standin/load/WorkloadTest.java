package org.marjoramsail.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class WorkloadTest {

  private static final long DURATION = 20_000;

  @ParameterizedTest
  @EnumSource(RequestMix.class)
  void equalDefinitionsGiveEqualWorkloadsDownToTheBytes(RequestMix mix) {
    List<PlannedRequest> first = Workload.plan(definition(mix, ArrivalShape.RUSH, 7));
    List<PlannedRequest> second = Workload.plan(definition(mix, ArrivalShape.RUSH, 7));

    assertThat(first).isEqualTo(second);
    assertThat(first.stream().map(PlannedRequest::body).toList())
        .isEqualTo(second.stream().map(PlannedRequest::body).toList());
  }

  @Test
  void anotherSeedGivesAnotherWorkload() {
    assertThat(Workload.plan(definition(RequestMix.ROSARIO, ArrivalShape.STEADY, 1)))
        .isNotEqualTo(Workload.plan(definition(RequestMix.ROSARIO, ArrivalShape.STEADY, 2)));
  }

  @ParameterizedTest
  @EnumSource(RequestMix.class)
  void requestsAreOrderedNumberedAndOfEveryKindAndOrganisation(RequestMix mix) {
    List<PlannedRequest> requests = Workload.plan(definition(mix, ArrivalShape.STEADY, 3));

    assertThat(requests).isSortedAccordingTo((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    assertThat(requests).extracting(PlannedRequest::sequence).startsWith(0, 1, 2);
    assertThat(requests).extracting(PlannedRequest::kind).containsAll(mix.kinds());
    assertThat(requests).extracting(PlannedRequest::organisation).containsAll(mix.organisations());
  }

  @Test
  void theLoadFactorIsTheRateAtThePeak() {
    double steady = Workload.plan(definition(RequestMix.ROSARIO, ArrivalShape.STEADY, 4)).size();

    assertThat(steady / (DURATION / 1_000.0)).isBetween(190.0, 230.0);
  }

  @Test
  void aRushStartsLowAndRisesToItsPeak() {
    List<PlannedRequest> requests =
        Workload.plan(definition(RequestMix.CABILDO_ABIERTO, ArrivalShape.RUSH, 5));

    assertThat(countBetween(requests, 0, 0.2) * 3).isLessThan(countBetween(requests, 0.3, 0.5));
  }

  @Test
  void aBurstBringsTwoHundredLongPromptsAtOnce() {
    List<PlannedRequest> requests =
        Workload.plan(definition(RequestMix.ROSARIO, ArrivalShape.LONG_PROMPT_BURST, 6));

    assertThat(requests)
        .filteredOn(request -> request.atMillis() == DURATION / 2)
        .filteredOn(request -> request.prompt().map(Prompt::tokens).orElse(0) > 4_000)
        .hasSizeGreaterThanOrEqualTo(200);
  }

  @Test
  void onlyKeyedBallotsAreSentAgainAndWithTheSameKey() {
    List<PlannedRequest> requests =
        Workload.plan(definition(RequestMix.CABILDO_ABIERTO, ArrivalShape.STEADY, 8));
    Map<String, List<PlannedRequest>> byReference =
        requests.stream().collect(Collectors.groupingBy(PlannedRequest::reference));
    Set<RequestKind> repeatedKinds = new HashSet<>();

    for (List<PlannedRequest> same : byReference.values()) {
      if (same.size() > 1) {
        repeatedKinds.add(same.get(0).kind());
        assertThat(same).extracting(PlannedRequest::idempotencyKey).containsOnly(key(same));
        assertThat(key(same)).isPresent();
      }
    }
    assertThat(repeatedKinds).containsExactly(RequestKind.BALLOT);
    assertThat(requests)
        .filteredOn(request -> request.kind() == RequestKind.BALLOT)
        .anyMatch(request -> request.idempotencyKey().isEmpty());
  }

  @Test
  void promptsHaveALongTailAndSharedPrefixes() {
    List<Prompt> prompts =
        Workload.plan(definition(RequestMix.CABILDO_ABIERTO, ArrivalShape.STEADY, 9)).stream()
            .flatMap(request -> request.prompt().stream())
            .toList();

    assertThat(prompts).anyMatch(prompt -> prompt.tokens() > 2_500);
    assertThat(prompts).anyMatch(prompt -> prompt.tokens() < 400);
    assertThat(prompts.stream().map(Prompt::storySeed).distinct().count())
        .isLessThan(prompts.size());
    assertThat(prompts.get(0).text().split(" ")).hasSize(prompts.get(0).tokens());
  }

  @Test
  void aWarmUpSharesNoReferenceAndNoStoryWithItsRun() {
    WorkloadDefinition run = definition(RequestMix.ROSARIO, ArrivalShape.RUSH, 3);
    List<PlannedRequest> before = Workload.plan(run.warmUp(DURATION));
    List<PlannedRequest> measured = Workload.plan(run);

    assertThat(before).isNotEmpty();
    assertThat(before.stream().map(PlannedRequest::reference))
        .doesNotContainAnyElementsOf(measured.stream().map(PlannedRequest::reference).toList());
    assertThat(stories(before)).doesNotContainAnyElementsOf(stories(measured));
  }

  private static List<Long> stories(List<PlannedRequest> requests) {
    return requests.stream()
        .flatMap(request -> request.prompt().stream())
        .map(Prompt::storySeed)
        .toList();
  }

  private static Optional<String> key(List<PlannedRequest> same) {
    return same.get(0).idempotencyKey();
  }

  private static long countBetween(List<PlannedRequest> requests, double from, double to) {
    return requests.stream()
        .filter(request -> request.atMillis() >= from * DURATION)
        .filter(request -> request.atMillis() < to * DURATION)
        .count();
  }

  private static WorkloadDefinition definition(RequestMix mix, ArrivalShape shape, long seed) {
    return new WorkloadDefinition(mix, shape, seed, DURATION, 100, 2.0, PromptLengths.assumed());
  }
}
