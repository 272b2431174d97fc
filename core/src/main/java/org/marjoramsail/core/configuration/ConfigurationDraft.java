package org.marjoramsail.core.configuration;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A configuration under change; keeps the order of its objects. */
final class ConfigurationDraft {

  private final Map<ObjectKind, Map<String, ConfigurationObject>> objects =
      new EnumMap<>(ObjectKind.class);

  ConfigurationDraft(Configuration configuration) {
    takeOver(configuration);
  }

  void apply(ConfigurationOperation operation) {
    if (operation instanceof ConfigurationOperation.Put put) {
      ObjectKey key = put.object().key();
      objects.get(key.kind()).put(key.name(), put.object());
    } else if (operation instanceof ConfigurationOperation.Delete delete) {
      objects.get(delete.key().kind()).remove(delete.key().name());
    } else if (operation instanceof ConfigurationOperation.Restore restore) {
      takeOver(restore.configuration());
    }
  }

  Configuration finish(long revision) {
    return new Configuration(
        revision,
        all(ObjectKind.SERVICE, ServiceDefinition.class),
        all(ObjectKind.MODEL, ModelDefinition.class),
        all(ObjectKind.UPSTREAM, UpstreamDefinition.class),
        all(ObjectKind.RULE, RuleDefinition.class),
        all(ObjectKind.ORGANISATION, OrganisationDefinition.class));
  }

  private void takeOver(Configuration configuration) {
    for (ObjectKind kind : ObjectKind.values()) {
      Map<String, ConfigurationObject> byName = new LinkedHashMap<>();
      for (ConfigurationObject object : kind.in(configuration)) {
        byName.put(object.key().name(), object);
      }
      objects.put(kind, byName);
    }
  }

  private <T extends ConfigurationObject> List<T> all(ObjectKind kind, Class<T> type) {
    return objects.get(kind).values().stream().map(type::cast).toList();
  }
}
