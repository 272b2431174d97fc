/** Timers that cost little while the daemon is idle. */
package org.marjoramsail.daemon.timing;
