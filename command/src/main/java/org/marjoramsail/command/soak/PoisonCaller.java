package org.marjoramsail.command.soak;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.Prompt;
import org.marjoramsail.standin.load.RequestKind;
import org.marjoramsail.standin.load.RequestMix;

/** Sends prompts that crash each engine that runs them, each several times in a row. */
final class PoisonCaller {

  /** What every poisonous prompt contains, and no other does. */
  static final String MARKER = "poison-";

  private static final int SENDS = 4;
  private static final int INSTRUCTION_TOKENS = 32;
  private static final int STORY_TOKENS = 200;
  private static final int OUTPUT_TOKENS = 16;

  private final SideLoad side;
  private final RequestMix mix;
  private final List<Prompt> prompts = new ArrayList<>();
  private final List<Observation> observed = new ArrayList<>();
  private final List<Future<Void>> callers = new ArrayList<>();

  PoisonCaller(SideLoad side, RequestMix mix) {
    this.side = side;
    this.mix = mix;
  }

  /**
   * Lets a caller send a prompt of its own and send it again after each end.
   *
   * @param seed decides the prompt
   */
  synchronized void send(long seed) {
    Prompt prompt =
        new Prompt(seed, INSTRUCTION_TOKENS, seed, STORY_TOKENS, MARKER + prompts.size());
    prompts.add(prompt);
    callers.add(send(request(prompt), SENDS));
  }

  /** Waits for all callers, and gives what came of what they sent. */
  synchronized Future<List<Observation>> finish() {
    return Future.join(callers).map(ended -> observations());
  }

  /** The prompts that were sent. */
  synchronized List<Prompt> prompts() {
    return List.copyOf(prompts);
  }

  private synchronized List<Observation> observations() {
    return List.copyOf(observed);
  }

  private Future<Void> send(PlannedRequest request, int times) {
    if (times == 0) {
      return Future.succeededFuture();
    }
    return side.send(List.of(request))
        .compose(
            ends -> {
              observe(ends);
              return send(request, times - 1);
            });
  }

  private synchronized void observe(List<Observation> ends) {
    observed.addAll(ends);
  }

  private PlannedRequest request(Prompt prompt) {
    String organisation = mix.organisations().get(0);
    RequestKind kind =
        mix.kinds().stream().filter(RequestKind::isGeneration).findFirst().orElseThrow();
    return new PlannedRequest(
        0,
        0,
        organisation,
        RequestMix.token(organisation),
        kind,
        prompt.question(),
        true,
        Optional.of(prompt),
        OUTPUT_TOKENS,
        Optional.empty(),
        Optional.empty(),
        kind.deadlineMillis());
  }
}
