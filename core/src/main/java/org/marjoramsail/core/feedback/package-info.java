/**
 * Feedback that upstreams send on themselves with their responses, as a host stores and relays it.
 *
 * <p>Feedback ages, belongs to one incarnation of its upstream, and is at first received only by
 * the host that got the response.
 */
package org.marjoramsail.core.feedback;
