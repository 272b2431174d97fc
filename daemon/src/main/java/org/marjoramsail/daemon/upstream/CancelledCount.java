package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** Response of an engine to a bulk cancel: the number of cancelled attempts. */
@JsonIgnoreProperties(ignoreUnknown = true)
record CancelledCount(int cancelled) {}
