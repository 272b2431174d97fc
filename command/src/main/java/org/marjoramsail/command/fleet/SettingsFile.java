package org.marjoramsail.command.fleet;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.marjoramsail.daemon.settings.Settings;

/** The file from which the process of a daemon reads its settings. */
final class SettingsFile {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .serializationInclusion(JsonInclude.Include.NON_ABSENT)
          .build();

  private final Path path;

  SettingsFile(Path path) {
    this.path = path;
  }

  Path path() {
    return path;
  }

  /** Replaces the file as a whole, so that a process that reads it meanwhile finds no part. */
  void write(Settings settings) throws IOException {
    Path next = path.resolveSibling(path.getFileName() + ".next");
    MAPPER.writeValue(next.toFile(), settings);
    Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
