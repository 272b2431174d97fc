package org.marjoramsail.command.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.PemTrustOptions;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends statements to one daemon and waits for each answer. */
public final class OperatorClient implements AutoCloseable {

  private static final String PATH = "/admin/v1/statements";
  private static final int CONNECT_MILLIS = 3_000;

  /** More than a daemon waits for its fellows and for the store together. */
  private static final long ANSWER_SECONDS = 30;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client;
  private final String server;
  private final String token;

  /**
   * Connects with the first statement.
   *
   * @param address an IP number or a name
   * @param port the daemon's port for operators
   * @param token the bearer token
   * @param trustedCertificate a PEM file with whom to trust; with none the connection is plain text
   */
  public OperatorClient(
      String address, int port, String token, Optional<String> trustedCertificate) {
    this.server = address + ":" + port;
    this.token = token;
    HttpClientOptions options =
        new HttpClientOptions()
            .setDefaultHost(address)
            .setDefaultPort(port)
            .setConnectTimeout(CONNECT_MILLIS);
    trustedCertificate.ifPresent(
        file -> options.setSsl(true).setTrustOptions(new PemTrustOptions().addCertPath(file)));
    this.client = vertx.createHttpClient(options);
  }

  /**
   * Has a statement carried out.
   *
   * @param text what the operator says
   * @param order names an order, so that the same again has no further effect
   * @param baseRevision the revision that the operator saw
   * @param isText whether an answer to a question should be a table as text
   * @throws DaemonUnreachableException when there was no answer; an order may have taken effect
   */
  public OperatorReply send(String text, String order, Optional<Long> baseRevision, boolean isText)
      throws DaemonUnreachableException {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("text", text).put("order", order);
    baseRevision.ifPresent(revision -> body.put("baseRevision", revision));
    Future<OperatorReply> reply =
        client
            .request(HttpMethod.POST, PATH)
            .compose(
                request ->
                    request
                        .putHeader("authorization", "Bearer " + token)
                        .putHeader("content-type", "application/json")
                        .putHeader("accept", isText ? "text/plain" : "application/json")
                        .send(body.toString()))
            .compose(OperatorClient::reply);
    try {
      return reply.toCompletionStage().toCompletableFuture().get(ANSWER_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException failure) {
      Throwable cause = failure.getCause();
      throw new DaemonUnreachableException(server, String.valueOf(cause.getMessage()), cause);
    } catch (TimeoutException failure) {
      String detail = "none within " + ANSWER_SECONDS + " s; an order may have taken effect";
      throw new DaemonUnreachableException(server, detail, failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new DaemonUnreachableException(server, "interrupted", failure);
    }
  }

  private static Future<OperatorReply> reply(HttpClientResponse response) {
    String type = Optional.ofNullable(response.getHeader("content-type")).orElse("");
    return response
        .body()
        .map(
            body ->
                new OperatorReply(
                    response.statusCode(), body.toString(), type.startsWith("text/plain")));
  }

  @Override
  public void close() {
    vertx.close();
  }
}
