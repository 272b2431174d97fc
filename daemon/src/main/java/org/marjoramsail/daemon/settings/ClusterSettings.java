package org.marjoramsail.daemon.settings;

/**
 * What the daemons of one deployment share.
 *
 * @param name daemons of another cluster are refused
 * @param key the secret by which daemons prove that they belong to the cluster
 */
public record ClusterSettings(String name, String key) {

  /** Leaves the key out, so that no log shows it. */
  @Override
  public String toString() {
    return "ClusterSettings[name=" + name + "]";
  }
}
