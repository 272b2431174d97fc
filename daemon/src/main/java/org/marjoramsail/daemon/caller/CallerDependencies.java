package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.daemon.request.UpstreamClients;

/**
 * What the caller side needs of the rest of the daemon.
 *
 * @param daemon this daemon
 * @param configuration gives the newest configuration
 * @param registry runs requests
 * @param metrics what is counted
 * @param clock tells the time
 * @param json reads and writes bodies
 * @param policy bounds of the tries and waits of a request
 * @param upstreams calls upstreams
 */
public record CallerDependencies(
    DaemonId daemon,
    Supplier<Configuration> configuration,
    RequestRegistry registry,
    RequestMetrics metrics,
    Clock clock,
    ObjectMapper json,
    LifecyclePolicy policy,
    UpstreamClients upstreams) {}
