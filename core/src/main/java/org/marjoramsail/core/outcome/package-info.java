/**
 * State machine of a request, its retry budget and the quarantine of contents that crash upstreams.
 */
package org.marjoramsail.core.outcome;
