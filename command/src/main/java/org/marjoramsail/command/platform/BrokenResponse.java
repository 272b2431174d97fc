package org.marjoramsail.command.platform;

import java.util.List;
import java.util.stream.Collectors;
import org.marjoramsail.platform.standin.ServerVisit;

/**
 * A response, or a request, that breaks a rule.
 *
 * @param rule the rule
 * @param request identifier of the request
 * @param host host that its caller called
 * @param port port of its caller, which identifies the connection; 0 if none is known
 * @param received what the caller received
 * @param visits the visits of the request, those before them on their connections, and that whose
 *     proof the response bears
 */
public record BrokenResponse(
    ResponseRule rule,
    String request,
    String host,
    int port,
    String received,
    List<ServerVisit> visits) {

  /** Copies the list, so that the value is immutable. */
  public BrokenResponse {
    visits = List.copyOf(visits);
  }

  @Override
  public String toString() {
    return String.format(
        "%s: %s at %s from port %d, %s; visits: %s",
        rule.code(),
        request,
        host,
        port,
        received,
        visits.stream().map(BrokenResponse::describe).collect(Collectors.joining("; ")));
  }

  private static String describe(ServerVisit visit) {
    return String.format(
        "%s of %s at %d, connection %d, its request %d, %s%s, status %d, %s, %d bytes%s%s",
        visit.seal(),
        visit.request(),
        visit.arrivedAtMillis(),
        visit.connection(),
        visit.position(),
        visit.isPrefill() ? "prefill, " : "",
        visit.hasRun() ? "ran" : "did not run",
        visit.status(),
        visit.isComplete() ? "complete" : "incomplete",
        visit.body().length(),
        visit.kvHandle().isEmpty() ? "" : ", from " + visit.kvHandle(),
        visit.repeat().isEmpty() ? "" : ", second response " + visit.repeat());
  }
}
