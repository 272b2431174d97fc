package org.marjoramsail.daemon.operator;

/**
 * A prompt part that may have crashed upstreams, as operators see it.
 *
 * @param fingerprint identifies the part together with its service and organisation
 * @param part identifier of the part, as its callers name it
 * @param state suspect, or quarantined when it is refused
 * @param crashes number of crashes that it may have caused
 * @param ageMillis time since the last of these crashes, in milliseconds
 */
public record PartView(
    String fingerprint, String part, String state, int crashes, long ageMillis) {}
