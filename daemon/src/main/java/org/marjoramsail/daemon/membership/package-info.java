/** Runs the failure detector of the core with timers and the connections to other daemons. */
package org.marjoramsail.daemon.membership;
