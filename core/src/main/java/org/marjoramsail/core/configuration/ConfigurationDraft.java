package org.marjoramsail.core.configuration;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Mutable copy of a configuration; keeps the order of its objects. */
final class ConfigurationDraft {

  private final Map<ObjectKind, Map<String, ConfigurationObject>> objects =
      new EnumMap<>(ObjectKind.class);

  ConfigurationDraft(Configuration configuration) {
    replaceAll(configuration);
  }

  void apply(ConfigurationOperation operation) {
    if (operation instanceof ConfigurationOperation.Put put) {
      ObjectKey key = put.object().key();
      objects.get(key.kind()).put(key.name(), put.object());
    } else if (operation instanceof ConfigurationOperation.Delete delete) {
      objects.get(delete.key().kind()).remove(delete.key().name());
    } else if (operation instanceof ConfigurationOperation.Restore restore) {
      replaceAll(restore.configuration());
    }
  }

  Configuration build(long revision) {
    return new Configuration(
        revision,
        objectsOf(ObjectKind.SERVICE, ServiceDefinition.class),
        objectsOf(ObjectKind.MODEL, ModelDefinition.class),
        objectsOf(ObjectKind.UPSTREAM, UpstreamDefinition.class),
        objectsOf(ObjectKind.RULE, RuleDefinition.class),
        objectsOf(ObjectKind.ORGANISATION, OrganisationDefinition.class));
  }

  private void replaceAll(Configuration configuration) {
    for (ObjectKind kind : ObjectKind.values()) {
      Map<String, ConfigurationObject> byName = new LinkedHashMap<>();
      for (ConfigurationObject object : kind.in(configuration)) {
        byName.put(object.key().name(), object);
      }
      objects.put(kind, byName);
    }
  }

  private <T extends ConfigurationObject> List<T> objectsOf(ObjectKind kind, Class<T> type) {
    return objects.get(kind).values().stream().map(type::cast).toList();
  }
}
