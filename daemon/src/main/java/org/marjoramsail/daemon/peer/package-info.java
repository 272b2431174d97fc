/**
 * Other daemons: TCP connections with a mutual handshake, over which typed messages travel as
 * length-framed MessagePack.
 */
package org.marjoramsail.daemon.peer;
