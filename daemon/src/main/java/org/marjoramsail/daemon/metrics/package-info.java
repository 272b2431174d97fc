/** Metrics of requests, with a counter for each refusal, retry and drop reason. */
package org.marjoramsail.daemon.metrics;
