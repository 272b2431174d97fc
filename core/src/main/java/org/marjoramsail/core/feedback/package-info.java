/**
 * What upstreams say of themselves beside their answers, and what a host believes because of it.
 *
 * <p>Such a statement ages, belongs to one life of its upstream, and is known at first only to the
 * host that got the answer.
 */
package org.marjoramsail.core.feedback;
