package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * Identifies a prompt part on one software version; a part that crashes one may be sound on others.
 *
 * @param fingerprint fingerprint of the part
 * @param version the software version; empty if it is not known
 */
record PartKey(long fingerprint, Optional<SoftwareVersion> version) {}
