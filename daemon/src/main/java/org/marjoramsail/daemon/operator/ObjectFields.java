package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ObjectKind;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.language.Assignment;
import org.marjoramsail.language.FieldType;
import org.marjoramsail.language.FieldValue;
import org.marjoramsail.language.ObjectField;
import org.marjoramsail.language.ObjectForm;

/** Turns fields as operators write them into objects of the configuration, and back. */
final class ObjectFields {

  private static final String NAME = "name";

  private ObjectFields() {}

  /** An object with these fields and the defaults of those that need not be given. */
  static ConfigurationObject created(ObjectKind kind, String name, List<Assignment> assignments)
      throws ConfigurationFormatException {
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    tree.put(NAME, name);
    for (ObjectField field : ObjectForm.valueOf(kind.name()).fields()) {
      putDefault(tree, field);
    }
    assign(tree, assignments);
    return read(kind, tree);
  }

  /** The object with some fields changed. */
  static ConfigurationObject changed(ConfigurationObject object, List<Assignment> assignments)
      throws ConfigurationFormatException {
    ObjectNode tree = ConfigurationFormat.toTree((Record) object);
    assign(tree, assignments);
    return read(object.key().kind(), tree);
  }

  /** The object of a JSON form; the name in the path is its name. */
  static ConfigurationObject ofJson(ObjectKind kind, String name, ObjectNode json)
      throws ConfigurationFormatException {
    ObjectNode tree = json.deepCopy();
    tree.put(NAME, name);
    return read(kind, tree);
  }

  /** The fields that differ from nothing, as operators write them. */
  static String text(ConfigurationObject object) {
    ObjectNode tree = ConfigurationFormat.toTree((Record) object);
    StringBuilder text = new StringBuilder();
    for (ObjectField field : ObjectForm.valueOf(object.key().kind().name()).fields()) {
      JsonNode value = tree.path(field.jsonName());
      if (!value.isNull() && !value.isMissingNode()) {
        text.append(text.length() == 0 ? "" : ", ").append(field.name()).append(" = ");
        text.append(shown(field, value));
      }
    }
    return text.toString();
  }

  private static String shown(ObjectField field, JsonNode value) {
    return field.type() == FieldType.CHOICE
        ? value.asText().toLowerCase(Locale.ROOT).replace('_', '-')
        : value.isTextual() ? value.asText() : value.toString();
  }

  private static void putDefault(ObjectNode tree, ObjectField field) {
    if (field.type() == FieldType.LIST) {
      tree.putArray(field.jsonName());
    } else if (field.type() == FieldType.FLAG) {
      tree.put(field.jsonName(), false);
    } else if (field.type() == FieldType.CHOICE && !field.isRequired()) {
      tree.put(field.jsonName(), StoreOutagePolicy.REFUSE.name());
    }
  }

  private static void assign(ObjectNode tree, List<Assignment> assignments) {
    for (Assignment assignment : assignments) {
      FieldValue value = assignment.value();
      tree.set(assignment.field().jsonName(), json(assignment.field().type(), value));
    }
  }

  private static JsonNode json(FieldType type, FieldValue value) {
    JsonNodeFactory factory = JsonNodeFactory.instance;
    if (value.isList()) {
      var array = factory.arrayNode();
      value.texts().forEach(array::add);
      return array;
    }
    String text = value.texts().get(0);
    return switch (type) {
      case INTEGER -> factory.numberNode(Long.parseLong(text));
      case NUMBER -> factory.numberNode(Double.parseDouble(text));
      case FLAG -> factory.booleanNode(Boolean.parseBoolean(text));
      case CHOICE -> factory.textNode(text.toUpperCase(Locale.ROOT).replace('-', '_'));
      case TEXT, LIST -> factory.textNode(text);
    };
  }

  private static ConfigurationObject read(ObjectKind kind, ObjectNode tree)
      throws ConfigurationFormatException {
    ObjectRecord record =
        Arrays.stream(ObjectRecord.values())
            .filter(candidate -> candidate.name().equals(kind.name()))
            .findFirst()
            .orElseThrow();
    return (ConfigurationObject) ConfigurationFormat.fromTree(tree, record.type);
  }

  /** The record of each kind. */
  private enum ObjectRecord {
    SERVICE(ServiceDefinition.class),
    MODEL(ModelDefinition.class),
    UPSTREAM(UpstreamDefinition.class),
    RULE(RuleDefinition.class),
    ORGANISATION(OrganisationDefinition.class);

    private final Class<? extends Record> type;

    ObjectRecord(Class<? extends Record> type) {
      this.type = type;
    }
  }
}
