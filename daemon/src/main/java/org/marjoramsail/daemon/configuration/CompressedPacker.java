package org.marjoramsail.daemon.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationPacker;

/** Packs configurations as deflated JSON in Base64; keeps the last one that it packed. */
final class CompressedPacker implements ConfigurationPacker {

  /** The most that a packed configuration may unpack to, against a text that never ends. */
  private static final int BOUND_BYTES = 4_000_000;

  private Configuration lastConfiguration = Configuration.empty();
  private String lastPacked = "";

  @Override
  public synchronized String pack(Configuration configuration) {
    if (lastPacked.isEmpty() || !lastConfiguration.equals(configuration)) {
      lastPacked = compress(ConfigurationFormat.toText(configuration));
      lastConfiguration = configuration;
    }
    return lastPacked;
  }

  @Override
  public Optional<Configuration> unpack(String packed) {
    try (InflaterInputStream input =
        new InflaterInputStream(new ByteArrayInputStream(Base64.getDecoder().decode(packed)))) {
      byte[] bytes = input.readNBytes(BOUND_BYTES);
      String text = new String(bytes, StandardCharsets.UTF_8);
      return Optional.of(ConfigurationFormat.fromText(text, Configuration.class));
    } catch (IOException | IllegalArgumentException | ConfigurationFormatException malformed) {
      return Optional.empty();
    }
  }

  private static String compress(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream output =
        new DeflaterOutputStream(bytes, new Deflater(Deflater.BEST_COMPRESSION))) {
      output.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException impossible) {
      throw new IllegalStateException("Writing to memory failed", impossible);
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }
}
