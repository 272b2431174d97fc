package org.marjoramsail.core.stream;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * Where a stream began.
 *
 * @param service the service whose upstream sent its first event
 * @param version the software version of that upstream
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String service, SoftwareVersion version) {}
