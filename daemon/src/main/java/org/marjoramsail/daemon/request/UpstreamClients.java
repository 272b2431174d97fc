package org.marjoramsail.daemon.request;

import java.util.function.Consumer;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.PlainClient;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;

/**
 * The upstreams as completions and plain calls need them.
 *
 * @param engines calls model engines
 * @param plainServices calls plain services
 * @param directory finds upstreams
 * @param probe asks an upstream at once for its load, after a call to it was cut
 */
public record UpstreamClients(
    EngineClient engines,
    PlainClient plainServices,
    UpstreamDirectory directory,
    Consumer<UpstreamDefinition> probe) {}
