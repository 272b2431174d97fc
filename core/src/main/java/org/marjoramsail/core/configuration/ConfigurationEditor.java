package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.ConfigurationProblem.Kind;

/** Applies changes to configurations and reports all problems of a change together. */
public final class ConfigurationEditor {

  private ConfigurationEditor() {}

  /**
   * Applies a change after validating it.
   *
   * @param configuration the configuration to change
   * @param change the change to apply
   * @return the changed configuration with the next revision, or all problems
   */
  public static EditResult apply(Configuration configuration, ConfigurationChange change) {
    List<ConfigurationProblem> problems = new ArrayList<>();
    checkOperations(configuration, change.operations(), problems);
    Configuration edited =
        applyUnchecked(configuration, change.operations(), configuration.revision() + 1);
    Set<ObjectKey> deleted =
        change.operations().stream()
            .filter(ConfigurationOperation.Delete.class::isInstance)
            .map(operation -> ((ConfigurationOperation.Delete) operation).key())
            .collect(Collectors.toSet());
    ConfigurationChecks.problemsOf(edited).stream()
        .map(problem -> explainDeletion(problem, deleted))
        .forEach(problems::add);
    return problems.isEmpty() ? new EditResult.Edited(edited) : new EditResult.Invalid(problems);
  }

  /** Applies operations without validation, for those that another daemon has validated. */
  static Configuration applyUnchecked(
      Configuration configuration, List<ConfigurationOperation> operations, long revision) {
    ConfigurationDraft draft = new ConfigurationDraft(configuration);
    for (ConfigurationOperation operation : operations) {
      draft.apply(operation);
    }
    return draft.build(revision);
  }

  private static void checkOperations(
      Configuration configuration,
      List<ConfigurationOperation> operations,
      List<ConfigurationProblem> problems) {
    boolean restoring =
        operations.stream().anyMatch(ConfigurationOperation.Restore.class::isInstance);
    if (operations.isEmpty() || (restoring && operations.size() > 1)) {
      String value = operations.size() + " operations";
      String allowed = "at least one operation, and a restore alone";
      problems.add(
          new ConfigurationProblem(
              Kind.BAD_CHANGE,
              new ObjectKey(ObjectKind.SERVICE, "*"),
              "",
              value,
              allowed,
              Optional.empty()));
    }
    Set<ObjectKey> seen = new HashSet<>();
    for (ConfigurationOperation operation : operations) {
      checkOperation(configuration, operation, seen, problems);
    }
  }

  private static void checkOperation(
      Configuration configuration,
      ConfigurationOperation operation,
      Set<ObjectKey> seen,
      List<ConfigurationProblem> problems) {
    Optional<ObjectKey> named = keyOf(operation);
    if (named.isEmpty()) {
      return;
    }
    ObjectKey key = named.get();
    if (!seen.add(key)) {
      String allowed = "one operation for each object";
      problems.add(
          new ConfigurationProblem(Kind.DUPLICATE, key, "", key.name(), allowed, Optional.empty()));
    }
    Set<String> known = namesOf(configuration, key.kind());
    if (operation instanceof ConfigurationOperation.Delete && !known.contains(key.name())) {
      String allowed = "the name of a " + key.kind().code() + " that exists";
      Optional<String> nearest = NearestName.of(key.name(), known);
      problems.add(
          new ConfigurationProblem(Kind.UNKNOWN_REFERENCE, key, "", key.name(), allowed, nearest));
    }
  }

  /** Returns the key of the object of an operation; empty for a restore of all objects. */
  static Optional<ObjectKey> keyOf(ConfigurationOperation operation) {
    if (operation instanceof ConfigurationOperation.Put put) {
      return Optional.of(put.object().key());
    }
    if (operation instanceof ConfigurationOperation.Delete delete) {
      return Optional.of(delete.key());
    }
    return Optional.empty();
  }

  private static Set<String> namesOf(Configuration configuration, ObjectKind kind) {
    return kind.in(configuration).stream()
        .map(object -> object.key().name())
        .collect(Collectors.toSet());
  }

  private static ConfigurationProblem explainDeletion(
      ConfigurationProblem problem, Set<ObjectKey> deleted) {
    if (problem.kind() != Kind.UNKNOWN_REFERENCE) {
      return problem;
    }
    Optional<ObjectKey> deletedObject =
        deleted.stream()
            .filter(key -> key.name().equals(problem.value()))
            .filter(key -> problem.allowed().contains(key.kind().code()))
            .findFirst();
    return deletedObject
        .map(
            key ->
                new ConfigurationProblem(
                    Kind.STILL_REFERENCED,
                    problem.object(),
                    problem.field(),
                    problem.value(),
                    problem.allowed() + "; this change deletes " + key,
                    Optional.empty()))
        .orElse(problem);
  }
}
