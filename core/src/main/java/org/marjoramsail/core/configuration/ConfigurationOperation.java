package org.marjoramsail.core.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One operation of a change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "operation")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationOperation.Put.class, name = "put"),
  @JsonSubTypes.Type(value = ConfigurationOperation.Delete.class, name = "delete"),
  @JsonSubTypes.Type(value = ConfigurationOperation.Restore.class, name = "restore")
})
public sealed interface ConfigurationOperation {

  /**
   * Creates an object, or replaces the object of the same name without changing its position.
   *
   * @param object the complete object
   */
  record Put(
      @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "objectKind")
          @JsonSubTypes({
            @JsonSubTypes.Type(value = ServiceDefinition.class, name = "service"),
            @JsonSubTypes.Type(value = ModelDefinition.class, name = "model"),
            @JsonSubTypes.Type(value = UpstreamDefinition.class, name = "upstream"),
            @JsonSubTypes.Type(value = RuleDefinition.class, name = "rule"),
            @JsonSubTypes.Type(value = OrganisationDefinition.class, name = "organisation")
          })
          ConfigurationObject object)
      implements ConfigurationOperation {}

  /**
   * Deletes an object.
   *
   * @param key the key of the object
   */
  record Delete(ObjectKey key) implements ConfigurationOperation {}

  /**
   * Replaces all objects with those of an earlier revision, in their order; has to be the only
   * operation of its change.
   *
   * @param configuration the earlier revision
   */
  record Restore(Configuration configuration) implements ConfigurationOperation {}
}
