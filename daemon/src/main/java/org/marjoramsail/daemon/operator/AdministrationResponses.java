package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.ext.web.RoutingContext;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.language.Column;
import org.marjoramsail.language.ResultTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes answers and refusals. */
final class AdministrationResponses {

  private static final Logger LOGGER = LoggerFactory.getLogger(AdministrationResponses.class);
  private static final String JSON = "application/json";
  private static final String PROBLEM = "application/problem+json";
  private static final String PROBLEM_TYPES = "https://marjoramsail.org/problems/";
  private static final int BODY_TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;

  private final MeterRegistry meters;

  AdministrationResponses(MeterRegistry meters) {
    this.meters = meters;
  }

  void answer(RoutingContext context, StatementResponse answer) {
    if (answer instanceof StatementResponse.Table table) {
      table(context, table.table());
    } else if (answer instanceof StatementResponse.Ordered ordered) {
      text(context, JSON, ordered(ordered).toString());
    }
  }

  private void table(RoutingContext context, ResultTable table) {
    String accepted = context.request().getHeader("accept");
    if ("text/plain".equals(accepted)) {
      text(context, "text/plain; charset=utf-8", table.text());
      return;
    }
    ObjectNode json = table.json();
    ArrayNode columns = json.putArray("columns");
    for (Column column : table.columns()) {
      columns.addObject().put("name", column.name()).put("number", column.isNumber());
    }
    text(context, JSON, json.toString());
  }

  private static ObjectNode ordered(StatementResponse.Ordered ordered) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("order", ordered.order().value());
    json.put("state", ordered.outcome().state().name().toLowerCase(Locale.ROOT));
    ordered.outcome().revision().ifPresent(revision -> json.put("revision", revision));
    ordered.outcome().inForce().ifPresent(report -> putInForce(json, report));
    ArrayNode details = json.putArray("details");
    ordered.outcome().details().forEach(details::add);
    return json;
  }

  private static void putInForce(ObjectNode json, InForceReport report) {
    ObjectNode inForce = json.putObject("inForce");
    inForce.put("daemons", report.inForce()).put("of", report.total());
    ArrayNode lagging = inForce.putArray("lagging");
    for (InForceReport.Lagging each : report.lagging()) {
      ObjectNode entry = lagging.addObject().put("host", each.host());
      each.revision().ifPresent(revision -> entry.put("revision", revision));
    }
  }

  void text(RoutingContext context, String type, String body) {
    context.response().putHeader("content-type", type).end(body);
  }

  void health(RoutingContext context, Optional<String> fault) {
    context.response().setStatusCode(fault.isEmpty() ? 200 : UNAVAILABLE);
    text(context, "text/plain; charset=utf-8", fault.orElse("ok") + "\n");
  }

  void notFound(RoutingContext context) {
    refuse(
        context,
        new AdministrationException(
            AdministrationFailure.NOT_FOUND,
            context.request().method()
                + " "
                + context.request().path()
                + " is not served; allowed: what /admin/v1/openapi.json lists."));
  }

  /** Answers what the HTTP library itself refuses. */
  void failed(RoutingContext context) {
    if (context.statusCode() == BODY_TOO_LARGE) {
      refuse(
          context,
          new AdministrationException(
              AdministrationFailure.TOO_LARGE, "The body is longer than the settings allow."));
      return;
    }
    refuse(context, context.failure());
  }

  void refuse(RoutingContext context, Throwable failure) {
    AdministrationException refusal =
        failure instanceof AdministrationException known ? known : internal(failure);
    AdministrationFailure reason = refusal.failure();
    meters.counter("marjoramsail.operator.refusals", "reason", reason.code()).increment();
    ObjectNode problem = JsonNodeFactory.instance.objectNode();
    problem.put("type", PROBLEM_TYPES + reason.code());
    problem.put("title", reason.code().replace('-', ' '));
    problem.put("status", reason.httpStatus());
    problem.put("detail", refusal.getMessage());
    problem.put("reason", reason.code());
    ArrayNode problems = problem.putArray("problems");
    for (AdministrationException.Problem each : refusal.problems()) {
      ObjectNode entry = problems.addObject();
      entry.put("field", each.field()).put("value", each.value()).put("allowed", each.allowed());
      each.nearest().ifPresent(nearest -> entry.put("nearest", nearest));
    }
    context.response().setStatusCode(reason.httpStatus());
    text(context, PROBLEM, problem.toString());
  }

  private static AdministrationException internal(Throwable failure) {
    LOGGER.atError().setCause(failure).log("an operator's request failed");
    return new AdministrationException(
        AdministrationFailure.INTERNAL, "The daemon failed; its log names the cause.");
  }
}
