package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.daemon.settings.OperatorRole;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.OrderTarget;
import org.marjoramsail.language.Subject;

/** Decides who may do what. */
final class Permissions {

  private static final String OWN_FIELD = "token-hashes";

  private Permissions() {}

  static void checkQuestion(OperatorIdentity operator, Subject subject)
      throws AdministrationException {
    boolean isConfined = operator.organisation().isPresent();
    if (isConfined && subject.visibility() == Subject.Visibility.PLATFORM) {
      throw forbidden(operator, "ask for " + subject.code() + ", which concerns all organisations");
    }
  }

  static void checkOrders(OperatorIdentity operator, List<Order> orders)
      throws AdministrationException {
    for (Order order : orders) {
      OperatorRole needed = roleFor(order);
      if (!operator.role().includes(needed)) {
        throw forbidden(operator, "order " + order.canonical() + "; needed: " + needed.code());
      }
      if (operator.organisation().isPresent() && !isOwnTokens(operator, order)) {
        throw forbidden(
            operator, "order " + order.canonical() + "; allowed: a change of its own " + OWN_FIELD);
      }
    }
  }

  private static OperatorRole roleFor(Order order) {
    boolean isConfiguration = order.target() == OrderTarget.CONFIGURATION;
    return isConfiguration && !(order instanceof Order.DrainUpstream)
        ? OperatorRole.ADMINISTRATOR
        : OperatorRole.OPERATOR;
  }

  /** Limits and weights of an organisation are for the platform to set, its tokens its own. */
  private static boolean isOwnTokens(OperatorIdentity operator, Order order) {
    return order instanceof Order.Change change
        && change.form() == ObjectForm.ORGANISATION
        && operator.organisation().equals(Optional.of(change.name()))
        && change.assignments().stream()
            .allMatch(assignment -> assignment.field().name().equals(OWN_FIELD));
  }

  static AdministrationException forbidden(OperatorIdentity operator, String action) {
    String confined = operator.organisation().map(name -> " of organisation " + name).orElse("");
    return new AdministrationException(
        AdministrationFailure.FORBIDDEN,
        operator.name() + ", " + operator.role().code() + confined + ", may not " + action + ".");
  }
}
