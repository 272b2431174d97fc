/** The platform: its object API and its lists of hosts. */
package org.marjoramsail.daemon.platform;
