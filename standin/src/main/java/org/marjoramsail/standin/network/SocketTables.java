package org.marjoramsail.standin.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads the local ports of the TCP connections of processes from the tables of Linux. */
final class SocketTables {

  private static final Path PROCESSES = Path.of("/proc");
  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
  private static final int LOCAL_ADDRESS = 1;
  private static final int INODE = 9;
  private static final int RADIX = 16;
  private static final Pattern GAP = Pattern.compile(" +");

  private SocketTables() {}

  /**
   * Returns the ports of each process; none for one that has ended or cannot be read.
   *
   * @throws IOException if the tables cannot be read
   */
  static Map<Long, Set<Integer>> portsOf(Set<Long> processes) throws IOException {
    Map<Long, Set<Integer>> ports = new HashMap<>();
    Map<String, Long> owners = new HashMap<>();
    for (long process : processes) {
      ports.put(process, new HashSet<>());
      inodesOf(process).forEach(inode -> owners.put(inode, process));
    }
    for (Path table : TABLES) {
      for (String line : Files.readAllLines(table)) {
        String[] fields = GAP.split(line.strip(), -1);
        if (fields.length > INODE && owners.containsKey(fields[INODE])) {
          ports.get(owners.get(fields[INODE])).add(port(fields[LOCAL_ADDRESS]));
        }
      }
    }
    return ports;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1), RADIX);
  }

  private static Set<String> inodesOf(long process) {
    Set<String> inodes = new HashSet<>();
    try (Stream<Path> files = Files.list(PROCESSES.resolve(process + "/fd"))) {
      files.forEach(file -> inodeOf(file, inodes));
    } catch (IOException | UncheckedIOException ended) {
      // A process that ends while it is read has no connections.
    }
    return inodes;
  }

  private static void inodeOf(Path file, Set<String> inodes) {
    try {
      String target = Files.readSymbolicLink(file).toString();
      if (target.startsWith("socket:[")) {
        inodes.add(target.substring(target.indexOf('[') + 1, target.length() - 1));
      }
    } catch (IOException closed) {
      // The file was closed meanwhile.
    }
  }
}
