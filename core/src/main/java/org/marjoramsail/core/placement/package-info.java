/** Which upstreams serve a request, and when: queues, slots, estimates and their owners. */
package org.marjoramsail.core.placement;
