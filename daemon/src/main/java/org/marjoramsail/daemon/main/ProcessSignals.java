package org.marjoramsail.daemon.main;

import org.jline.utils.Signals;

/**
 * The signals of this process.
 *
 * <p>Each one is taken, since the virtual machine ends the process at a signal that nobody takes: a
 * daemon that was told of new settings would be gone, with all that its callers wait for.
 */
final class ProcessSignals implements MarjoramsailDaemon.SignalSource {

  @Override
  public void onStop(Runnable handler) {
    Signals.register("TERM", handler);
    Signals.register("INT", handler);
  }

  @Override
  public void onReload(Runnable handler) {
    Signals.register("HUP", handler);
  }
}
