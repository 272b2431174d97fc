package org.marjoramsail.daemon.caller;

/**
 * Address and port on which callers are served.
 *
 * @param address IP address of this host
 * @param port TCP port; zero for any free port
 * @param eventLoops number of event loops that serve callers
 */
public record CallerBinding(String address, int port, int eventLoops) {}
