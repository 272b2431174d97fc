package org.marjoramsail.daemon.operator;

import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.util.Optional;
import org.marjoramsail.daemon.connection.ServerOptions;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.TlsSettings;

/**
 * Where and how operators connect.
 *
 * @param endpoint the address and the port, zero for one that the system chooses
 * @param keyFiles the certificate and its key; absent for plain text
 * @param reloadMillis how often the files are read again, in milliseconds; zero for never
 */
public record OperatorListener(
    Endpoint endpoint, Optional<TlsSettings.KeyFiles> keyFiles, long reloadMillis) {

  HttpServerOptions options() {
    HttpServerOptions options = ServerOptions.http1();
    keyFiles.ifPresent(files -> options.setSsl(true).setKeyCertOptions(certificate(files)));
    return options;
  }

  static ServerSSLOptions renewed(TlsSettings.KeyFiles files) {
    ServerSSLOptions options = new ServerSSLOptions();
    options.setKeyCertOptions(certificate(files));
    return options;
  }

  private static PemKeyCertOptions certificate(TlsSettings.KeyFiles files) {
    return new PemKeyCertOptions().addCertPath(files.certificate()).addKeyPath(files.key());
  }
}
