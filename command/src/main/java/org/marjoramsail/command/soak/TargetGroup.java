package org.marjoramsail.command.soak;

import org.marjoramsail.command.fleet.Deployment;

/** A group of processes that can take each other's work. */
enum TargetGroup {
  DAEMON("entry-") {
    @Override
    int size(Deployment deployment, int daemons) {
      return daemons;
    }
  },
  PREFILL("prefill-") {
    @Override
    int size(Deployment deployment, int daemons) {
      return deployment.servers().prefillEngines();
    }
  },
  DECODE("decode-") {
    @Override
    int size(Deployment deployment, int daemons) {
      return deployment.servers().decodeEngines();
    }
  },
  PLAIN("plain-") {
    @Override
    int size(Deployment deployment, int daemons) {
      return deployment.servers().plainServers();
    }
  },
  /** The platform; it is one and may be down whole. */
  PLATFORM("platform-") {
    @Override
    int size(Deployment deployment, int daemons) {
      return 1;
    }

    @Override
    boolean mayAllBeDown() {
      return true;
    }
  };

  private final String prefix;

  TargetGroup(String prefix) {
    this.prefix = prefix;
  }

  /** How many there are. */
  abstract int size(Deployment deployment, int daemons);

  /** Whether a run may go on with none of them. */
  boolean mayAllBeDown() {
    return false;
  }

  /** The name of one; for daemons it is the one that load targets bear. */
  String nameOf(int number) {
    return prefix + (number + 1);
  }
}
