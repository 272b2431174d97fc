package org.marjoramsail.standin.engine;

import java.util.Optional;

/** Faults that are switched on; they outlive a crash of the engine. */
final class EngineFaults {

  private volatile double slowness = 1;
  private volatile boolean transfersFailing;
  private volatile boolean cancelsRefused;
  private volatile Optional<String> crashMarker = Optional.empty();

  double slowness() {
    return slowness;
  }

  void slowDown(double factor) {
    if (!(factor > 0)) {
      throw new IllegalArgumentException("A slow-down is above 0, not " + factor + ".");
    }
    slowness = factor;
  }

  boolean isFailingTransfers() {
    return transfersFailing;
  }

  void failTransfers(boolean failing) {
    transfersFailing = failing;
  }

  boolean isRefusingCancels() {
    return cancelsRefused;
  }

  void refuseCancels(boolean refusing) {
    cancelsRefused = refusing;
  }

  void crashOn(Optional<String> marker) {
    crashMarker = marker;
  }

  boolean isPoisonous(String prompt) {
    return crashMarker.filter(prompt::contains).isPresent();
  }
}
