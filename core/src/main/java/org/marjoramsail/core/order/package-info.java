/** Orders to engines: the lease that permits sending them, and the planning of the next ones. */
package org.marjoramsail.core.order;
