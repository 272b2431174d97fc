package org.marjoramsail.core.outcome;

/** Passes each kind of event to its method of the lifecycle. */
final class LifecycleDispatch {

  private LifecycleDispatch() {}

  static void dispatch(RequestLifecycle lifecycle, LifecycleEvent event) {
    if (!dispatchUpstream(lifecycle, event)) {
      dispatchOther(lifecycle, event);
    }
  }

  private static boolean dispatchUpstream(RequestLifecycle lifecycle, LifecycleEvent event) {
    if (event instanceof LifecycleEvent.TokenArrived token) {
      lifecycle.tokenArrived(token);
    } else if (event instanceof LifecycleEvent.OutputStarted started) {
      lifecycle.outputStarted(started);
    } else if (event instanceof LifecycleEvent.StreamFinished finished) {
      lifecycle.streamFinished(finished);
    } else if (event instanceof LifecycleEvent.Prefilled prefilled) {
      lifecycle.prefilled(prefilled);
    } else if (event instanceof LifecycleEvent.PlainResponseReceived response) {
      lifecycle.plainResponseReceived(response);
    } else if (event instanceof LifecycleEvent.FailureResponseReceived failed) {
      lifecycle.failureResponseReceived(failed);
    } else if (event instanceof LifecycleEvent.UpstreamFailed failed) {
      lifecycle.upstreamFailed(failed);
    } else if (event instanceof LifecycleEvent.CancelConfirmed confirmed) {
      lifecycle.cancelConfirmed(confirmed);
    } else if (event instanceof LifecycleEvent.UpstreamRestarted restarted) {
      lifecycle.upstreamRestarted(restarted);
    } else {
      return false;
    }
    return true;
  }

  private static void dispatchOther(RequestLifecycle lifecycle, LifecycleEvent event) {
    if (event instanceof LifecycleEvent.Started) {
      lifecycle.started();
    } else if (event instanceof LifecycleEvent.ClaimRecorded) {
      lifecycle.claimRecorded();
    } else if (event instanceof LifecycleEvent.ClaimRefused refused) {
      lifecycle.claimRefused(refused.refusal());
    } else if (event instanceof LifecycleEvent.Granted granted) {
      lifecycle.granted(granted.grant());
    } else if (event instanceof LifecycleEvent.PlacementRefused refused) {
      lifecycle.placementRefused(refused);
    } else if (event instanceof LifecycleEvent.CallerDisconnected) {
      lifecycle.callerDisconnected();
    } else if (event instanceof LifecycleEvent.CallerEnded ended) {
      lifecycle.callerEnded(ended.refusal());
    } else if (event instanceof LifecycleEvent.StartRefused refused) {
      lifecycle.startRefused(refused.refusal());
    } else if (event instanceof LifecycleEvent.TimePassed) {
      lifecycle.timePassed();
    }
  }
}
