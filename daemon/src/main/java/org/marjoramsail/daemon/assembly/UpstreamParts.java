package org.marjoramsail.daemon.assembly;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.PlainClient;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;
import org.marjoramsail.daemon.upstream.UpstreamHttp;
import org.marjoramsail.daemon.upstream.UpstreamLimits;

/** The clients of upstreams. */
final class UpstreamParts {

  final UpstreamDirectory directory;
  final EngineClient engines;
  final PlainClient plainServices;

  UpstreamParts(
      Vertx vertx, ObjectMapper json, Supplier<Configuration> configuration, MeterRegistry meters) {
    UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
    http.malformedHeads().registerWith(meters, "upstream");
    this.directory = new UpstreamDirectory(configuration);
    this.engines = new EngineClient(http, json, meters);
    this.plainServices = new PlainClient(http, json);
  }
}
