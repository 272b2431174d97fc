/**
 * TCP connections between daemons, with mutual authentication and typed messages, which are encoded
 * as length-prefixed MessagePack.
 */
package org.marjoramsail.daemon.peer;
