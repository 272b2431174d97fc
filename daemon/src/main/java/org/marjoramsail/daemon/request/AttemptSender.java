package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;

/**
 * Sends the attempts of one request to upstreams, in the protocol of the caller's interface.
 *
 * <p>The results of a call arrive as events on any thread; a closed call delivers no more events.
 * Methods are called one after another, on the executor of the request.
 */
public interface AttemptSender {

  /** Sends the prompt to a prefill upstream. */
  Optional<OpenCall> sendPrefill(LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events);

  /** Sends the request to a decode upstream, which generates the output. */
  Optional<OpenCall> sendDecode(LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events);

  /** Sends the request to a plain service. */
  Optional<OpenCall> sendPlain(LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events);

  /** Makes an upstream release the resources of an attempt; an event confirms it. */
  void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events);

  /** Records the software version of an output whose first token is sent to the caller next. */
  default void recordVersion(LifecycleAction.RecordVersion version) {}

  /** Sends the whole response that an attempt received to the caller. */
  void deliver(int attempt);
}
