/** Counters and timers of requests: one counter for each refusal, retry and drop reason. */
package org.marjoramsail.daemon.metrics;
