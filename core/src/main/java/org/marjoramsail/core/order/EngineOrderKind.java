package org.marjoramsail.core.order;

import java.util.Locale;

/** What an engine can be ordered to do. */
public enum EngineOrderKind {
  LOAD_MODEL(true, true),
  UNLOAD_MODEL(false, true),
  LOAD_ADAPTER(true, false),
  UNLOAD_ADAPTER(false, false),
  CHANGE_ROLE(false, true),
  /** Take no new work; what runs goes on. */
  LEAVE(false, false),
  /** Take new work again. */
  RETURN(false, false);

  private final boolean loadingWeights;
  private final boolean requiringIdleEngine;

  EngineOrderKind(boolean loadingWeights, boolean requiringIdleEngine) {
    this.loadingWeights = loadingWeights;
    this.requiringIdleEngine = requiringIdleEngine;
  }

  /** Whether it draws on the rate-limited weight store. */
  public boolean isLoadingWeights() {
    return loadingWeights;
  }

  /** Whether requests on the engine would be cut off by it. */
  public boolean isRequiringIdleEngine() {
    return requiringIdleEngine;
  }

  /** The kind in lower case with hyphens, as engines see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
