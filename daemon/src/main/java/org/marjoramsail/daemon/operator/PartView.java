package org.marjoramsail.daemon.operator;

/**
 * A part of prompts that crashed upstreams.
 *
 * @param fingerprint identifies the part together with its service and organisation
 * @param part identifier of the part, as its callers name it
 * @param state suspect, or quarantined when it is refused
 * @param crashes how many upstreams it crashed
 * @param ageMillis since the last crash, in milliseconds
 */
public record PartView(
    String fingerprint, String part, String state, int crashes, long ageMillis) {}
