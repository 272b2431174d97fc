package org.marjoramsail.daemon.request;

import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.model.RequestId;

/**
 * Claim on an idempotency key that has to be recorded.
 *
 * @param request id of the request
 * @param organisation the organisation that owns the key
 * @param service the requested service
 * @param key the caller's idempotency key
 * @param fingerprint hash of the content, which detects the reuse of a key for other content
 * @param storeOutagePolicy policy of the rule while the store is unavailable
 * @param deadlineWithinMillis time until the deadline of the request
 */
public record ClaimRequest(
    RequestId request,
    String organisation,
    String service,
    String key,
    long fingerprint,
    StoreOutagePolicy storeOutagePolicy,
    long deadlineWithinMillis) {}
