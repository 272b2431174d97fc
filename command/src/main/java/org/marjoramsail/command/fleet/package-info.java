/** A whole deployment in one process on loopback: platform, engines, plain services, daemons. */
package org.marjoramsail.command.fleet;
