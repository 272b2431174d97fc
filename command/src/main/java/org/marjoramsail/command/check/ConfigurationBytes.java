package org.marjoramsail.command.check;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Reads a configuration from a file or a URL, up to a maximum size. */
public final class ConfigurationBytes {

  /** Maximum size; the store holds objects of at most a megabyte. */
  static final int MAXIMUM_BYTES = 16 << 20;

  private static final int OK = 200;
  private static final int CONNECT_MILLIS = 3_000;
  private static final long DEFAULT_RESPONSE_MILLIS = 10_000;

  private final Optional<String> token;
  private final long responseMillis;

  /**
   * Creates a reader.
   *
   * @param token bearer token that is sent to URLs
   */
  public ConfigurationBytes(Optional<String> token) {
    this(token, DEFAULT_RESPONSE_MILLIS);
  }

  ConfigurationBytes(Optional<String> token, long responseMillis) {
    this.token = token;
    this.responseMillis = responseMillis;
  }

  /** Returns whether a source is a URL. */
  public static boolean isUrl(String source) {
    String start = source.toLowerCase(Locale.ROOT);
    return start.startsWith("http://") || start.startsWith("https://");
  }

  /**
   * Reads the whole content.
   *
   * @throws UnreadableConfigurationException if it cannot be read or is too large
   */
  public byte[] read(String source) throws UnreadableConfigurationException {
    return isUrl(source) ? fetch(source) : readFile(source);
  }

  private static byte[] readFile(String source) throws UnreadableConfigurationException {
    try (InputStream stream = Files.newInputStream(Path.of(source))) {
      byte[] content = stream.readNBytes(MAXIMUM_BYTES + 1);
      if (content.length > MAXIMUM_BYTES) {
        throw tooLarge(source);
      }
      return content;
    } catch (NoSuchFileException failure) {
      throw new UnreadableConfigurationException(source, "there is no such file");
    } catch (IOException | InvalidPathException failure) {
      throw new UnreadableConfigurationException(
          source, "the file cannot be read: " + failure.getMessage());
    }
  }

  private byte[] fetch(String source) throws UnreadableConfigurationException {
    Vertx vertx = Vertx.vertx();
    // Vert.x closes a client, and its connections, once nothing references it.
    HttpClient client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS));
    try {
      RequestOptions options =
          new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(source);
      options.putHeader("accept", "application/json");
      token.ifPresent(secret -> options.putHeader("authorization", "Bearer " + secret));
      Future<Buffer> body =
          client
              .request(options)
              .compose(request -> request.send().compose(response -> receive(source, response)));
      return body.toCompletionStage()
          .toCompletableFuture()
          .get(responseMillis, TimeUnit.MILLISECONDS)
          .getBytes();
    } catch (ExecutionException failure) {
      if (failure.getCause() instanceof UnreadableConfigurationException unreadable) {
        throw unreadable;
      }
      throw new UnreadableConfigurationException(
          source, "no response: " + failure.getCause().getMessage());
    } catch (TimeoutException failure) {
      throw new UnreadableConfigurationException(
          source, "no complete response within " + responseMillis + " ms");
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new UnreadableConfigurationException(source, "interrupted");
    } catch (IllegalArgumentException | VertxException failure) {
      throw new UnreadableConfigurationException(
          source, "the URL is not valid: " + failure.getMessage());
    } finally {
      client.close();
      vertx.close();
    }
  }

  private static Future<Buffer> receive(String source, HttpClientResponse response) {
    if (response.statusCode() != OK) {
      return Future.failedFuture(
          new UnreadableConfigurationException(
              source, "the response has the status " + response.statusCode()));
    }
    Promise<Buffer> whole = Promise.promise();
    Buffer received = Buffer.buffer();
    response.exceptionHandler(whole::tryFail);
    response.handler(
        part -> {
          if (received.length() + part.length() <= MAXIMUM_BYTES) {
            received.appendBuffer(part);
          } else if (whole.tryFail(tooLarge(source))) {
            response.request().connection().close();
          }
        });
    response.endHandler(ended -> whole.tryComplete(received));
    return whole.future();
  }

  private static UnreadableConfigurationException tooLarge(String source) {
    return new UnreadableConfigurationException(
        source, "it has more than " + MAXIMUM_BYTES + " bytes, which is the most that is read");
  }
}
