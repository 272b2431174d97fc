package org.marjoramsail.command.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.check.EntryKey;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.FindingKind;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.language.NearestName;

/**
 * Finds the reasons why a daemon cannot decode a configuration. The decoder stops at the first one,
 * so each entry is decoded alone, and the names of its fields are compared with those that exist.
 */
final class DecodingFindings {

  private static final EntryKey WHOLE = new EntryKey("configuration", EntryKey.ALL);

  private final List<Finding> findings = new ArrayList<>();

  private DecodingFindings() {}

  /** Returns at least one finding for a configuration that cannot be decoded. */
  static List<Finding> of(ObjectNode content, ConfigurationFormatException failure) {
    DecodingFindings decoding = new DecodingFindings();
    decoding.checkNames(WHOLE, content, Configuration.class);
    for (RecordComponent component : Configuration.class.getRecordComponents()) {
      if (component.getGenericType() instanceof ParameterizedType list) {
        Class<?> type = (Class<?>) list.getActualTypeArguments()[0];
        decoding.checkEntries(component.getName(), content, type.asSubclass(Record.class));
      }
    }
    if (decoding.findings.isEmpty()) {
      decoding.findings.add(finding(WHOLE, failure));
    }
    return decoding.findings;
  }

  private void checkEntries(String list, ObjectNode content, Class<? extends Record> type) {
    String kind = list.substring(0, list.length() - 1);
    int position = 0;
    for (JsonNode element : content.path(list)) {
      position++;
      String name = element.path("name").asText("");
      EntryKey entry = new EntryKey(kind, name.isBlank() ? "#" + position : name);
      if (element instanceof ObjectNode object) {
        checkEntry(entry, object, type);
      } else {
        findings.add(
            new Finding(
                FindingKind.INVALID, entry, "", element.toString(), "an object with fields"));
      }
    }
  }

  private void checkEntry(EntryKey entry, ObjectNode object, Class<? extends Record> type) {
    if (checkNames(entry, object, type)) {
      try {
        ConfigurationFormat.fromTree(object, type);
      } catch (ConfigurationFormatException failure) {
        findings.add(finding(entry, failure));
      }
    }
  }

  /** Adds findings for fields that do not exist or are absent; returns whether there are none. */
  private boolean checkNames(EntryKey entry, ObjectNode object, Class<? extends Record> type) {
    int before = findings.size();
    Set<String> known = new TreeSet<>();
    Set<String> absent = new TreeSet<>();
    for (RecordComponent component : type.getRecordComponents()) {
      known.add(component.getName());
      if (!object.has(component.getName())) {
        absent.add(component.getName());
      }
      if (component.getType() != Optional.class && !object.hasNonNull(component.getName())) {
        findings.add(
            new Finding(FindingKind.INVALID, entry, component.getName(), "absent", "a value"));
      }
    }
    for (String name : object.propertyStream().map(field -> field.getKey()).toList()) {
      if (!known.contains(name)) {
        findings.add(
            new Finding(
                FindingKind.INVALID,
                entry,
                name,
                name,
                "the fields " + String.join(", ", known),
                NearestName.of(name, absent)));
      }
    }
    return findings.size() == before;
  }

  private static Finding finding(EntryKey entry, ConfigurationFormatException failure) {
    String value = "";
    String allowed = failure.getMessage();
    List<String> names = List.of();
    if (failure.getCause() instanceof UnrecognizedPropertyException unknown) {
      value = unknown.getPropertyName();
    } else if (failure.getCause() instanceof InvalidFormatException invalid) {
      value = String.valueOf(invalid.getValue());
      if (invalid.getTargetType().isEnum()) {
        names =
            Arrays.stream(invalid.getTargetType().getEnumConstants())
                .map(Object::toString)
                .toList();
        allowed = String.join(", ", names);
      }
    }
    return new Finding(
        FindingKind.INVALID, entry, failure.path(), value, allowed, NearestName.of(value, names));
  }
}
