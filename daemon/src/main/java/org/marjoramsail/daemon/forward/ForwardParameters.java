package org.marjoramsail.daemon.forward;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.daemon.upstream.KvLocation;

/**
 * What an upstream is told beside the caller's request.
 *
 * @param upstream the only upstream that may take it
 * @param remainingMillis how long the answer is of use
 * @param prefill whether only the prompt is to be read
 * @param kv where the KV cache of the prompt is
 * @param resumeAfter the last event that the caller has; zero for none
 * @param organisation whose request it is; empty where that is not known
 */
public record ForwardParameters(
    UpstreamName upstream,
    long remainingMillis,
    boolean prefill,
    Optional<KvLocation> kv,
    int resumeAfter,
    Optional<String> organisation) {}
