package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;

/**
 * Brings the attempts of one request to upstreams, in the form that its caller's interface has.
 *
 * <p>What becomes of a call is told as events, on any thread; after a call was closed, nothing more
 * is told of it. Methods are called one after another, on the request's own executor.
 */
public interface AttemptSender {

  /** Has a prefill upstream read the prompt. */
  Optional<OpenCall> sendPrefill(LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events);

  /** Has a decode upstream generate. */
  Optional<OpenCall> sendDecode(LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events);

  /** Has a plain service answer. */
  Optional<OpenCall> sendPlain(LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events);

  /** Has an upstream drop what it holds; confirmed by an event. */
  void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events);

  /** Gives the caller the whole answer that an attempt got. */
  void deliver(int attempt);
}
