package org.marjoramsail.daemon.caller;

import io.vertx.core.http.HttpServerRequest;
import org.marjoramsail.core.failure.RefusalReason;

/** Target of a request, as its path gives it. */
sealed interface CallerRoute {

  /**
   * A completion from a model service.
   *
   * @param format format of request and response
   */
  record Generation(CompletionFormat format) implements CallerRoute {}

  /**
   * A request to a plain service.
   *
   * @param service name of the service
   * @param path path within the service, without the query
   * @param pathAndQuery path and query that are sent to the service
   */
  record Plain(String service, String path, String pathAndQuery) implements CallerRoute {}

  /** Path prefix of plain services. */
  String SERVICES = "/services/";

  /** Parses the path of a request. */
  static CallerRoute of(HttpServerRequest request) throws RejectedRequestException {
    String path = request.path() == null ? "" : request.path();
    for (CompletionFormat format : CompletionFormat.values()) {
      if (format.path().equals(path)) {
        return generation(format, request.method().name());
      }
    }
    if (path.startsWith(SERVICES) && path.length() > SERVICES.length()) {
      return plain(path, request.query());
    }
    throw new RejectedRequestException(
        RefusalReason.UNKNOWN_SERVICE,
        "The path is \""
            + path
            + "\"; allowed: /v1/completions, /v1/chat/completions, /services/{name}/...");
  }

  private static CallerRoute generation(CompletionFormat format, String method)
      throws RejectedRequestException {
    if (!"POST".equals(method)) {
      throw new RejectedRequestException(
          RefusalReason.MALFORMED_REQUEST,
          "The method of " + format.path() + " is " + method + "; allowed: POST.");
    }
    return new Generation(format);
  }

  private static CallerRoute plain(String path, String query) {
    String rest = path.substring(SERVICES.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String pathInService = slash < 0 ? "/" : rest.substring(slash);
    return new Plain(
        service, pathInService, query == null ? pathInService : pathInService + "?" + query);
  }
}
