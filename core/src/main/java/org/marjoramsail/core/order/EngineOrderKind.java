package org.marjoramsail.core.order;

import java.util.Locale;

/** Kinds of orders to an engine. */
public enum EngineOrderKind {
  LOAD_MODEL(true, true),
  UNLOAD_MODEL(false, true),
  LOAD_ADAPTER(true, false),
  UNLOAD_ADAPTER(false, false),
  CHANGE_ROLE(false, true),
  /** Accept no new requests; running requests continue. */
  LEAVE(false, false),
  /** Accept new requests again. */
  RETURN(false, false);

  private final boolean loadingWeights;
  private final boolean requiringIdleEngine;

  EngineOrderKind(boolean loadingWeights, boolean requiringIdleEngine) {
    this.loadingWeights = loadingWeights;
    this.requiringIdleEngine = requiringIdleEngine;
  }

  /** Returns whether the order reads from the rate-limited weight store. */
  public boolean isLoadingWeights() {
    return loadingWeights;
  }

  /** Returns whether the order would interrupt requests that run on the engine. */
  public boolean isRequiringIdleEngine() {
    return requiringIdleEngine;
  }

  /** Returns the kind in lower case with hyphens, as sent to engines. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
