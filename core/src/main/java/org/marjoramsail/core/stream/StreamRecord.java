package org.marjoramsail.core.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Origin of one stream.
 *
 * @param key identifies the stream
 * @param origin where it began
 * @param lifetimeMillis time from now for which its caller may resume it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamRecord(StreamKey key, StreamOrigin origin, long lifetimeMillis) {}
