/** Watches connections, and ends ports and connections. */
package org.marjoramsail.daemon.connection;
