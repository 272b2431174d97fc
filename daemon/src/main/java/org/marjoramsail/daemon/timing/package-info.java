/** Timers that cost little while there is nothing to do. */
package org.marjoramsail.daemon.timing;
