package org.marjoramsail.daemon.operator;

/**
 * A content that crashed upstreams.
 *
 * @param fingerprint names the content
 * @param state suspect, or quarantined when it is refused
 * @param crashes how many upstreams it crashed
 * @param ageMillis since the last crash, in milliseconds
 */
public record QuarantineView(String fingerprint, String state, int crashes, long ageMillis) {}
