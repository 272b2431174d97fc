package org.marjoramsail.command.capacity;

import java.lang.management.ManagementFactory;

/**
 * Where a measurement was made.
 *
 * @param processors processors that the virtual machine may use
 * @param memoryMegabytes memory of the machine
 * @param heapMegabytes the largest heap that this process may use
 * @param java version of the virtual machine
 * @param loadBefore the machine's load average over a minute, before; with more than its processors
 *     it was overloaded, as a rule by others
 * @param loadAfter the same after the measurement
 */
public record Machine(
    int processors,
    long memoryMegabytes,
    long heapMegabytes,
    String java,
    double loadBefore,
    double loadAfter) {

  private static final long MEGABYTE = 1 << 20;

  /** This machine, at the end of a measurement. */
  static Machine here(double loadBefore) {
    long memoryBytes =
        ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
            .getTotalMemorySize();
    return new Machine(
        Runtime.getRuntime().availableProcessors(),
        memoryBytes / MEGABYTE,
        Runtime.getRuntime().maxMemory() / MEGABYTE,
        System.getProperty("java.version"),
        loadBefore,
        loadAverage());
  }

  /** The load average of the last minute; negative where the system has none. */
  static double loadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }
}
