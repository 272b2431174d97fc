package org.marjoramsail.daemon.peer;

import java.util.Locale;

/** Reason for which a message was not sent or not handled; each has a counter. */
enum DropReason {
  NO_ADDRESS,
  QUEUE_FULL,
  CONNECT_FAILED,
  CONNECTION_CLOSED,
  OTHER_INCARNATION,
  TOO_LARGE,
  NO_HANDLER,
  HANDLER_FAILED,
  INJECTED,
  STOPPED;

  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
