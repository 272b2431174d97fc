package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.model.UpstreamRole;

/** What orders change: role, model, version, adapters, and whether the engine is leaving. */
final class EngineIdentity {

  private static final String NOTHING = "";

  private final List<String> adapters;
  private UpstreamRole role;
  private String model;
  private String version;
  private boolean leaving;

  EngineIdentity(EngineSettings settings) {
    this.adapters = new ArrayList<>(settings.adapters());
    this.role = settings.role();
    this.model = settings.model();
    this.version = settings.version();
  }

  /** Whether requests for a model are taken, by its own name or an adapter's. */
  boolean runs(String asked) {
    return !asked.isEmpty() && (asked.equals(model) || adapters.contains(asked));
  }

  void load(String newModel, String newVersion) {
    model = newModel;
    version = newVersion;
  }

  void unload() {
    model = NOTHING;
    version = NOTHING;
  }

  void loadAdapter(String adapter) {
    if (!adapters.contains(adapter)) {
      adapters.add(adapter);
    }
  }

  void unloadAdapter(String adapter) {
    adapters.remove(adapter);
  }

  void change(UpstreamRole newRole) {
    role = newRole;
  }

  void leave(boolean isLeaving) {
    leaving = isLeaving;
  }

  UpstreamRole role() {
    return role;
  }

  String model() {
    return model;
  }

  String version() {
    return version;
  }

  List<String> adapters() {
    return List.copyOf(adapters);
  }

  boolean isLeaving() {
    return leaving;
  }
}
