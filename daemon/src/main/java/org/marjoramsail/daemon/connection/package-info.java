/** How servers end their ports and connections. */
package org.marjoramsail.daemon.connection;
