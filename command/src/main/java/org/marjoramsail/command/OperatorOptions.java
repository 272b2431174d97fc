package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.marjoramsail.command.operator.OperatorClient;

/** The options that say which daemon is asked and as whom. */
final class OperatorOptions {

  private static final String SERVER = "--server";
  private static final String TOKEN_FILE = "--token-file";
  private static final String OUTPUT = "--output";
  private static final int MOST_PORT = 65_535;

  @Option(
      name = SERVER,
      title = "host:port",
      description = "The port for operators of any daemon; required")
  private String server = "";

  @Option(
      name = TOKEN_FILE,
      title = "file",
      description = "A file that holds the bearer token and nothing else; required")
  private String tokenFile = "";

  @Option(
      name = "--ca-file",
      title = "file",
      description = "Encrypts the connection, and trusts the certificates in this PEM file")
  private String certificateFile = "";

  @Option(
      name = OUTPUT,
      title = "output",
      description = "How answers are printed: table or json. Default: table")
  private String output = "table";

  /** How answers are printed. */
  private enum Form {
    TABLE("table"),
    JSON("json");

    private final String code;

    Form(String code) {
      this.code = code;
    }
  }

  /** Whether answers are printed as JSON. */
  boolean isJson() throws UsageException {
    return Choice.of(OUTPUT, output, Form.values(), form -> form.code) == Form.JSON;
  }

  /** A client for the daemon; connects with the first statement. */
  OperatorClient client() throws UsageException {
    int colon = server.lastIndexOf(':');
    int port = port(server.substring(colon + 1));
    if (colon <= 0 || port < 1 || port > MOST_PORT) {
      throw new UsageException(SERVER, server, "an address and a port such as 10.0.1.5:9090");
    }
    String address = server.substring(0, colon).replaceAll("[\\[\\]]", "");
    Optional<String> trusted = Optional.of(certificateFile).filter(file -> !file.isEmpty());
    return new OperatorClient(address, port, token(), trusted);
  }

  private static int port(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }

  private String token() throws UsageException {
    try {
      return Files.readString(Path.of(tokenFile)).strip();
    } catch (IOException unreadable) {
      throw new UsageException(TOKEN_FILE, tokenFile, "a file that can be read");
    }
  }
}
