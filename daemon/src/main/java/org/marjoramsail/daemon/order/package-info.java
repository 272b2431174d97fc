/** Orders to engines, sent by the daemons that hold leases in the platform's object store. */
package org.marjoramsail.daemon.order;
