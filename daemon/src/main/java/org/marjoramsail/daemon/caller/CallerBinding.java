package org.marjoramsail.daemon.caller;

/**
 * Where callers are served.
 *
 * @param address an IP number of this host
 * @param port a TCP port; zero for any free one
 * @param eventLoops how many event loops serve callers
 */
public record CallerBinding(String address, int port, int eventLoops) {}
