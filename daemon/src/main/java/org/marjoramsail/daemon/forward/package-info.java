/**
 * Forwards requests that this program does not interpret: callers' requests are sent to upstreams
 * unchanged, and callers receive the bytes of the upstream's response. A {@link
 * org.marjoramsail.daemon.forward.ForwardingProtocol} defines the names of headers and fields.
 */
package org.marjoramsail.daemon.forward;
