package org.marjoramsail.core.configuration;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Difference between two revisions of the configuration.
 *
 * @param fromRevision the earlier revision
 * @param toRevision the later revision
 * @param objects the objects that differ
 */
public record ConfigurationDifference(
    long fromRevision, long toRevision, List<ObjectDifference> objects) {

  /** Copies the list to make the record immutable. */
  public ConfigurationDifference {
    objects = List.copyOf(objects);
  }

  /**
   * One object that differs.
   *
   * @param key the key of the object
   * @param before the object in the earlier revision; empty for a new one
   * @param after the object in the later revision; empty for a deleted one
   */
  public record ObjectDifference(
      ObjectKey key,
      Optional<? extends ConfigurationObject> before,
      Optional<? extends ConfigurationObject> after) {

    /** Returns the fields that differ; empty unless both revisions have the object. */
    public List<FieldDifference> fields() {
      if (before.isEmpty() || after.isEmpty()) {
        return List.of();
      }
      List<FieldDifference> fields = new ArrayList<>();
      for (RecordComponent component : before.get().getClass().getRecordComponents()) {
        Object previous = valueOf(component, before.get());
        Object current = valueOf(component, after.get());
        if (!Objects.equals(previous, current)) {
          fields.add(new FieldDifference(component.getName(), text(previous), text(current)));
        }
      }
      return fields;
    }

    private static Object valueOf(RecordComponent component, ConfigurationObject object) {
      try {
        return component.getAccessor().invoke(object);
      } catch (ReflectiveOperationException failure) {
        throw new IllegalStateException("Cannot read " + component + " of " + object, failure);
      }
    }

    private static String text(Object value) {
      return value instanceof Optional<?> optional
          ? optional.map(Object::toString).orElse("")
          : String.valueOf(value);
    }
  }

  /**
   * One field that differs.
   *
   * @param field the name of the field
   * @param before its value in the earlier revision
   * @param after its value in the later revision
   */
  public record FieldDifference(String field, String before, String after) {}

  /** Compares two revisions. */
  public static ConfigurationDifference between(Configuration before, Configuration after) {
    List<ObjectDifference> objects = new ArrayList<>();
    for (ObjectKind kind : ObjectKind.values()) {
      Map<ObjectKey, ConfigurationObject> previous = byKey(kind, before);
      Map<ObjectKey, ConfigurationObject> current = byKey(kind, after);
      current.forEach(
          (key, object) -> {
            ConfigurationObject earlier = previous.remove(key);
            if (!object.equals(earlier)) {
              objects.add(
                  new ObjectDifference(key, Optional.ofNullable(earlier), Optional.of(object)));
            }
          });
      previous.forEach(
          (key, object) ->
              objects.add(new ObjectDifference(key, Optional.of(object), Optional.empty())));
    }
    return new ConfigurationDifference(before.revision(), after.revision(), objects);
  }

  /** Returns the keys of the objects that differ. */
  public List<ObjectKey> keys() {
    return objects.stream().map(ObjectDifference::key).toList();
  }

  /**
   * Returns operations that convert the earlier revision into the later one, except for the order
   * of objects.
   */
  List<ConfigurationOperation> operations() {
    return objects.stream().map(ConfigurationDifference::operationFor).toList();
  }

  private static ConfigurationOperation operationFor(ObjectDifference object) {
    if (object.after().isPresent()) {
      return new ConfigurationOperation.Put(object.after().get());
    }
    return new ConfigurationOperation.Delete(object.key());
  }

  private static Map<ObjectKey, ConfigurationObject> byKey(
      ObjectKind kind, Configuration configuration) {
    Map<ObjectKey, ConfigurationObject> objects = new LinkedHashMap<>();
    for (ConfigurationObject object : kind.in(configuration)) {
      objects.put(object.key(), object);
    }
    return objects;
  }
}
