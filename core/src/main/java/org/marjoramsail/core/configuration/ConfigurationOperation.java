package org.marjoramsail.core.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One step of a change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "operation")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationOperation.Put.class, name = "put"),
  @JsonSubTypes.Type(value = ConfigurationOperation.Delete.class, name = "delete"),
  @JsonSubTypes.Type(value = ConfigurationOperation.Restore.class, name = "restore")
})
public sealed interface ConfigurationOperation {

  /**
   * Creates an object, or replaces the one of the same name in its place.
   *
   * @param object the whole object
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
   * @param key which
   */
  record Delete(ObjectKey key) implements ConfigurationOperation {}

  /**
   * Takes over all objects of an earlier revision, in their order; the only operation of its
   * change.
   *
   * @param configuration the earlier revision
   */
  record Restore(Configuration configuration) implements ConfigurationOperation {}
}
