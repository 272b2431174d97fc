package org.marjoramsail.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Draws the requests of a run from a seed, all before the run.
 *
 * <p>Arrivals are a Poisson process whose rate follows the shape, drawn at the peak rate and
 * thinned. Nothing is read but the definition, so that several policies meet the same requests.
 */
public final class Workload {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double STREAMED_SHARE = 0.7;
  private static final double UNKEYED_SHARE = 0.2;
  private static final double REPEATED_SHARE = 0.15;
  private static final int REPEATED_WITHIN_MILLIS = 1_500;
  private static final double POPULAR_STORY_SHARE = 0.3;
  private static final int POPULAR_STORIES = 12;
  private static final double CANCELLED_SHARE = 0.04;
  private static final int CANCELLED_WITHIN_MILLIS = 2_500;

  private final WorkloadDefinition definition;
  private final RandomGenerator random;
  private final List<PlannedRequest> requests = new ArrayList<>();

  private Workload(WorkloadDefinition definition) {
    this.definition = definition;
    this.random = new SplittableRandom(definition.seed());
  }

  /** All requests of the definition, ordered by the time at which they are sent. */
  public static List<PlannedRequest> plan(WorkloadDefinition definition) {
    return new Workload(definition).draw();
  }

  private List<PlannedRequest> draw() {
    drawArrivals();
    drawBurst();
    requests.sort(Comparator.comparingLong(PlannedRequest::atMillis));
    List<PlannedRequest> ordered = new ArrayList<>(requests.size());
    for (PlannedRequest request : requests) {
      ordered.add(request.withSequence(ordered.size()));
    }
    return List.copyOf(ordered);
  }

  private void drawArrivals() {
    double perMilli = definition.peakPerSecond() / MILLIS_PER_SECOND;
    double at = random.nextExponential() / perMilli;
    while (at < definition.durationMillis()) {
      double rate = definition.shape().rateAt(at / definition.durationMillis());
      if (random.nextDouble() < rate) {
        addRequest((long) at, definition.mix().drawKind(random));
      }
      at += random.nextExponential() / perMilli;
    }
  }

  private void drawBurst() {
    long middle = definition.durationMillis() / 2;
    for (int each = 0; each < definition.shape().burstOfLongPrompts(); each++) {
      int longest = definition.lengths().maximumStoryTokens();
      int story = longest / 2 + random.nextInt(longest / 2);
      requests.add(generation(middle, definition.mix().mainGeneration(), story));
    }
  }

  private void addRequest(long atMillis, RequestKind kind) {
    if (kind.isGeneration()) {
      requests.add(generation(atMillis, kind, definition.lengths().drawStory(random)));
      return;
    }
    PlannedRequest request = plain(atMillis, kind);
    requests.add(request);
    if (request.idempotencyKey().isPresent() && random.nextDouble() < REPEATED_SHARE) {
      requests.add(request.repeatedAt(atMillis + random.nextInt(REPEATED_WITHIN_MILLIS)));
    }
  }

  private PlannedRequest plain(long atMillis, RequestKind kind) {
    String organisation = definition.mix().drawOrganisation(random);
    String reference = nextReference(kind);
    boolean keyed = !kind.repeatability().isResendable() && random.nextDouble() >= UNKEYED_SHARE;
    return new PlannedRequest(
        0,
        atMillis,
        organisation,
        RequestMix.token(organisation),
        kind,
        reference,
        false,
        Optional.empty(),
        0,
        keyed ? Optional.of("key-" + reference) : Optional.empty(),
        Optional.empty(),
        kind.deadlineMillis());
  }

  private PlannedRequest generation(long atMillis, RequestKind kind, int storyTokens) {
    String organisation = definition.mix().drawOrganisation(random);
    String reference = nextReference(kind);
    return new PlannedRequest(
        0,
        atMillis,
        organisation,
        RequestMix.token(organisation),
        kind,
        reference,
        random.nextDouble() < STREAMED_SHARE,
        Optional.of(prompt(organisation, reference, storyTokens)),
        definition.lengths().drawOutput(random),
        Optional.empty(),
        drawCancel(),
        kind.deadlineMillis());
  }

  private Prompt prompt(String organisation, String reference, int storyTokens) {
    boolean popular = random.nextDouble() < POPULAR_STORY_SHARE;
    long fresh = random.nextLong();
    long story = popular ? definition.seed() + random.nextInt(POPULAR_STORIES) : fresh;
    return new Prompt(
        organisation.hashCode(),
        definition.lengths().instructionTokens(),
        story,
        storyTokens,
        reference);
  }

  private Optional<Long> drawCancel() {
    if (random.nextDouble() >= CANCELLED_SHARE) {
      return Optional.empty();
    }
    return Optional.of(1L + random.nextInt(CANCELLED_WITHIN_MILLIS));
  }

  private String nextReference(RequestKind kind) {
    return "%s-%d-%d".formatted(kind.code(), definition.seed(), requests.size());
  }
}
