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
 * Dependencies of the caller server on the other parts of the daemon.
 *
 * @param daemon this daemon
 * @param configuration returns the newest configuration
 * @param registry runs requests
 * @param metrics counts requests and refusals
 * @param clock returns the current time
 * @param json reads and writes bodies
 * @param policy limits of the attempts and waiting times of a request
 * @param upstreams clients for upstreams
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
