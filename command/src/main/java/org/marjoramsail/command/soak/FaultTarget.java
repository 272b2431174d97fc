package org.marjoramsail.command.soak;

/**
 * Whom a fault meets.
 *
 * @param group its group
 * @param number its place in the group, from zero
 */
record FaultTarget(TargetGroup group, int number) {

  /** Its name in reports. */
  String name() {
    return group.nameOf(number);
  }
}
