package org.marjoramsail.daemon.request;

import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.model.RequestId;

/**
 * A claim that is to be recorded.
 *
 * @param request the request
 * @param organisation whose key it is
 * @param service the service asked for
 * @param key the caller's idempotency key
 * @param fingerprint hash of the content, so that a key with other content is found
 * @param storeOutagePolicy what to do while the store is down
 * @param deadlineWithinMillis how long an answer is of use
 */
public record ClaimRequest(
    RequestId request,
    String organisation,
    String service,
    String key,
    long fingerprint,
    StoreOutagePolicy storeOutagePolicy,
    long deadlineWithinMillis) {}
