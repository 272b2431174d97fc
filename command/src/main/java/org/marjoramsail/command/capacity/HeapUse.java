package org.marjoramsail.command.capacity;

/** The heap in use, after collections. */
final class HeapUse {

  private static final int COLLECTIONS = 4;

  private HeapUse() {}

  static long bytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
