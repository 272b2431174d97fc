/** Stand-ins of network paths between daemons and the platform, for tests and soaks. */
package org.marjoramsail.standin.network;
