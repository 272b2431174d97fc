package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationDifference;
import org.marjoramsail.core.configuration.ConfigurationDifference.FieldDifference;
import org.marjoramsail.core.configuration.ConfigurationDifference.ObjectDifference;
import org.marjoramsail.core.configuration.RuleDefinition;

/**
 * One entry that differs between two configurations.
 *
 * @param entry the entry
 * @param change what happened to it
 * @param fields the fields that differ; empty unless both configurations have the entry
 */
public record EntryDifference(EntryKey entry, Change change, List<FieldDifference> fields) {

  /** Copies the list to make the record immutable. */
  public EntryDifference {
    fields = List.copyOf(fields);
  }

  /** What happened to an entry. */
  public enum Change {
    ADDED,
    REMOVED,
    CHANGED;

    /** Returns the change in lower case, as it appears to operators. */
    public String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Compares two configurations; the result is ordered by kind and name. A service differs if the
   * rules that both configurations have are evaluated in another order, since the first one that
   * matches applies.
   */
  public static List<EntryDifference> between(Configuration before, Configuration after) {
    SortedMap<EntryKey, EntryDifference> differences = new TreeMap<>();
    for (ObjectDifference object : ConfigurationDifference.between(before, after).objects()) {
      EntryDifference difference = of(object);
      differences.put(difference.entry(), difference);
    }
    Map<String, List<String>> rulesBefore = rulesByService(before);
    Map<String, List<String>> rulesAfter = rulesByService(after);
    rulesAfter.forEach(
        (service, later) -> {
          List<String> earlier = rulesBefore.getOrDefault(service, List.of());
          List<String> commonBefore = common(earlier, later);
          List<String> commonAfter = common(later, earlier);
          if (!commonBefore.equals(commonAfter)) {
            FieldDifference order =
                new FieldDifference(
                    "ruleOrder", String.join(", ", commonBefore), String.join(", ", commonAfter));
            differences.merge(
                new EntryKey(Entries.SERVICE, service),
                new EntryDifference(
                    new EntryKey(Entries.SERVICE, service), Change.CHANGED, List.of(order)),
                EntryDifference::withFieldsOf);
          }
        });
    return List.copyOf(differences.values());
  }

  private EntryDifference withFieldsOf(EntryDifference other) {
    List<FieldDifference> all = new ArrayList<>(fields);
    all.addAll(other.fields);
    return new EntryDifference(entry, change, all);
  }

  private static Map<String, List<String>> rulesByService(Configuration configuration) {
    return configuration.rules().stream()
        .collect(
            Collectors.groupingBy(
                RuleDefinition::service,
                Collectors.mapping(RuleDefinition::name, Collectors.toList())));
  }

  private static List<String> common(List<String> names, List<String> others) {
    Set<String> kept = new HashSet<>(others);
    return names.stream().filter(kept::contains).toList();
  }

  /**
   * Compares the entries of two configurations; the result is ordered by kind and name.
   *
   * @param before the fields of each entry with their values as text
   * @param after as {@code before}, of the later configuration
   */
  public static List<EntryDifference> between(
      SortedMap<EntryKey, SortedMap<String, String>> before,
      SortedMap<EntryKey, SortedMap<String, String>> after) {
    SortedSet<EntryKey> entries = new TreeSet<>(before.keySet());
    entries.addAll(after.keySet());
    List<EntryDifference> differences = new ArrayList<>();
    for (EntryKey entry : entries) {
      if (!before.containsKey(entry)) {
        differences.add(new EntryDifference(entry, Change.ADDED, List.of()));
      } else if (!after.containsKey(entry)) {
        differences.add(new EntryDifference(entry, Change.REMOVED, List.of()));
      } else {
        List<FieldDifference> fields = fields(before.get(entry), after.get(entry));
        if (!fields.isEmpty()) {
          differences.add(new EntryDifference(entry, Change.CHANGED, fields));
        }
      }
    }
    return differences;
  }

  private static List<FieldDifference> fields(
      Map<String, String> before, Map<String, String> after) {
    SortedSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    return names.stream()
        .filter(name -> !Objects.equals(before.get(name), after.get(name)))
        .map(
            name ->
                new FieldDifference(
                    name, before.getOrDefault(name, ""), after.getOrDefault(name, "")))
        .toList();
  }

  private static EntryDifference of(ObjectDifference difference) {
    Change change =
        difference.before().isEmpty()
            ? Change.ADDED
            : difference.after().isEmpty() ? Change.REMOVED : Change.CHANGED;
    return new EntryDifference(Entries.of(difference.key()), change, difference.fields());
  }
}
