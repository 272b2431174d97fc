package org.marjoramsail.daemon.request;

import java.util.function.Consumer;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.PlainClient;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;

/**
 * Clients for calls to upstreams.
 *
 * @param engines calls model engines
 * @param plainServices calls plain services
 * @param directory finds the endpoints of upstreams
 * @param probe polls the load of an upstream at once, after a failure that may be a crash
 */
public record UpstreamClients(
    EngineClient engines,
    PlainClient plainServices,
    UpstreamDirectory directory,
    Consumer<UpstreamDefinition> probe) {}
