package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** How many attempts a mass cancel found. */
@JsonIgnoreProperties(ignoreUnknown = true)
record CancelledCount(int cancelled) {}
