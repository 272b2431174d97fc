/** Orders to engines, sent under leases kept in the platform's store. */
package org.marjoramsail.daemon.order;
