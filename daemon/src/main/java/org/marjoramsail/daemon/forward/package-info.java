/**
 * Forwards requests that this program does not interpret: taken from callers whole, given to
 * upstreams unchanged, answered with an upstream's own bytes. What the headers are called is told
 * by a {@link org.marjoramsail.daemon.forward.ForwardingProtocol}.
 */
package org.marjoramsail.daemon.forward;
