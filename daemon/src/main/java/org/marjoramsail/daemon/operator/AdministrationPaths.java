package org.marjoramsail.daemon.operator;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.language.Condition;
import org.marjoramsail.language.FieldType;
import org.marjoramsail.language.NearestName;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Question;
import org.marjoramsail.language.Subject;

/** Reads the paths and the parameters of requests. */
final class AdministrationPaths {

  private static final String DRY_RUN = "dryRun";
  private static final String ORDER = "order";
  private static final String BASE_REVISION = "baseRevision";
  private static final List<String> ORDER_PARAMETERS = List.of(DRY_RUN, ORDER, BASE_REVISION);

  private AdministrationPaths() {}

  static Subject subject(String code) throws AdministrationException {
    List<Subject> listed = Arrays.stream(Subject.values()).filter(Subject::isListed).toList();
    return listed.stream()
        .filter(subject -> subject.code().equals(code))
        .findFirst()
        .orElseThrow(() -> unknown("path", code, listed.stream().map(Subject::code).toList()));
  }

  static ObjectForm form(String plural) throws AdministrationException {
    List<String> plurals = Arrays.stream(ObjectForm.values()).map(ObjectForm::plural).toList();
    return ObjectForm.ofPlural(plural).orElseThrow(() -> unknown("path", plural, plurals));
  }

  /** Each parameter is a column and the text that its cells must have. */
  static Question.Show show(Subject subject, MultiMap parameters) throws AdministrationException {
    List<Condition> conditions = new ArrayList<>();
    for (Map.Entry<String, String> parameter : parameters) {
      if (!subject.columnNames().contains(parameter.getKey())) {
        throw unknown("query", parameter.getKey(), subject.columnNames());
      }
      conditions.add(
          new Condition(parameter.getKey(), Condition.Comparison.EQUAL, parameter.getValue()));
    }
    return new Question.Show(subject, Optional.empty(), conditions);
  }

  static OrderContext orderContext(
      OperatorIdentity operator, MultiMap parameters, Supplier<OrderId> orderIds, String summary)
      throws AdministrationException {
    for (String name : parameters.names()) {
      if (!ORDER_PARAMETERS.contains(name)) {
        throw unknown("query", name, ORDER_PARAMETERS);
      }
    }
    String dryRun = checked(parameters, DRY_RUN, FieldType.FLAG).orElse("false");
    Optional<Long> base = checked(parameters, BASE_REVISION, FieldType.INTEGER).map(Long::valueOf);
    OrderId order =
        checked(parameters, ORDER, FieldType.TEXT).map(OrderId::new).orElseGet(orderIds);
    return new OrderContext(operator, order, Boolean.parseBoolean(dryRun), base, summary);
  }

  private static Optional<String> checked(MultiMap parameters, String name, FieldType type)
      throws AdministrationException {
    Optional<String> value = Optional.ofNullable(parameters.get(name));
    if (value.isPresent() && (value.get().isBlank() || !type.accepts(value.get()))) {
      throw invalid(name, value.get(), type.description(), Optional.empty());
    }
    return value;
  }

  static AdministrationException invalid(
      String field, String value, String allowed, Optional<String> nearest) {
    String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
    return new AdministrationException(
        AdministrationFailure.MALFORMED,
        field + ": \"" + value + "\" is not allowed; allowed: " + allowed + hint,
        List.of(new AdministrationException.Problem(field, value, allowed, nearest)));
  }

  private static AdministrationException unknown(String field, String value, List<String> allowed) {
    Optional<String> nearest = NearestName.of(value, allowed);
    AdministrationFailure failure =
        field.equals("path") ? AdministrationFailure.NOT_FOUND : AdministrationFailure.MALFORMED;
    String names = String.join(", ", allowed);
    String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
    return new AdministrationException(
        failure,
        field + ": \"" + value + "\" is not known; allowed: " + names + hint,
        List.of(new AdministrationException.Problem(field, value, names, nearest)));
  }
}
