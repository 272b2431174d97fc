package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.RequestId;

/**
 * Identifies an attempt on an upstream.
 *
 * @param request the request
 * @param attempt number of the attempt, from one
 */
record AttemptKey(RequestId request, int attempt) {}
