package org.marjoramsail.command.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Recorded measurements as JSON files, one for each part. */
public final class MeasurementFiles {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final ObjectWriter WRITER = MAPPER.writer(SerializationFeature.INDENT_OUTPUT);
  private static final String SUFFIX = ".json";

  private MeasurementFiles() {}

  /**
   * The JSON of measurements.
   *
   * @throws CapacityException never in practice; a measurement always has a JSON form
   */
  public static String json(List<Measurement> measurements) throws CapacityException {
    try {
      return WRITER.writeValueAsString(measurements) + "\n";
    } catch (IOException failure) {
      throw new CapacityException("write measurements", failure);
    }
  }

  /**
   * Writes a measurement into a directory, in place of an earlier one of the same part.
   *
   * @throws CapacityException when the file cannot be written
   */
  public static void record(Path directory, Measurement measurement) throws CapacityException {
    Path file = directory.resolve(measurement.part().code() + SUFFIX);
    try {
      Files.createDirectories(directory);
      Files.writeString(
          file, WRITER.writeValueAsString(measurement) + "\n", StandardCharsets.UTF_8);
    } catch (IOException failure) {
      throw new CapacityException("write " + file, failure);
    }
  }

  /**
   * Reads the recorded measurements of all parts that have one.
   *
   * @throws CapacityException when a file cannot be read
   */
  public static List<Measurement> read(Path directory) throws CapacityException {
    List<Measurement> measurements = new ArrayList<>();
    for (CapacityPart part : CapacityPart.values()) {
      Path file = directory.resolve(part.code() + SUFFIX);
      if (!Files.exists(file)) {
        continue;
      }
      try {
        measurements.add(MAPPER.readValue(Files.readString(file), Measurement.class));
      } catch (IOException failure) {
        throw new CapacityException("read " + file, failure);
      }
    }
    return measurements;
  }
}
