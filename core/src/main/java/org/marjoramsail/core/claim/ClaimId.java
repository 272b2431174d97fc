package org.marjoramsail.core.claim;

import org.marjoramsail.core.model.DaemonId;

/**
 * Names one claim for ever, so that it is found again when the answer to its write was lost.
 *
 * @param daemon the run of the daemon that made it
 * @param sequence rises with each that this run makes
 */
public record ClaimId(DaemonId daemon, long sequence) {}
