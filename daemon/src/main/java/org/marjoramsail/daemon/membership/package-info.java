/** Runs the failure detector of the core on timers and on the connections to other daemons. */
package org.marjoramsail.daemon.membership;
