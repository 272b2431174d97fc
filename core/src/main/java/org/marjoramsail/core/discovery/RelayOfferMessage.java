package org.marjoramsail.core.discovery;

import org.marjoramsail.core.message.PeerMessage;

/**
 * Message that offers to relay calls to upstreams; sent by daemons that reach upstreams.
 *
 * @param port the TCP port for relayed calls, on the address for other daemons
 * @param token authorizes calls at this incarnation of the offering daemon
 */
public record RelayOfferMessage(int port, String token) implements PeerMessage {}
