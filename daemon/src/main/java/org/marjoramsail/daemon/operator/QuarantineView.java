package org.marjoramsail.daemon.operator;

/**
 * A content that is refused because it crashed upstreams.
 *
 * @param fingerprint names the content
 * @param service the service that it was sent to
 * @param crashes how many upstreams it crashed
 * @param ageMillis since the last crash, in milliseconds
 */
public record QuarantineView(String fingerprint, String service, int crashes, long ageMillis) {}
