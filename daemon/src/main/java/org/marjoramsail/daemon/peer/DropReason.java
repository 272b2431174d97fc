package org.marjoramsail.daemon.peer;

import java.util.Locale;

/** Why a message was not sent or not given to its handler; each has its counter. */
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
