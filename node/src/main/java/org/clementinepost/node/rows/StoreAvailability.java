package org.clementinepost.node.rows;

import com.google.common.flogger.FluentLogger;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.TimerService;

/**
 * Tracks whether the store is available to one service, logs each change, and calls the store again
 * after a failure.
 */
public final class StoreAvailability {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String use;
  private final Registry registry;
  private final long retryDelayMillis;
  private final Runnable storeCall;
  private boolean unavailable;

  /**
   * Assumes that the store is available at the start.
   *
   * @param use the service that uses the store, as a log field and part of the timer's name
   * @param registry the registry in which the timer service is found
   * @param retryDelayMillis the delay before the store is called again after a failure
   * @param storeCall calls the store
   */
  public StoreAvailability(
      String use, Registry registry, long retryDelayMillis, Runnable storeCall) {
    this.use = use;
    this.registry = registry;
    this.retryDelayMillis = retryDelayMillis;
    this.storeCall = storeCall;
  }

  /** Whether the last call to the store failed. */
  public boolean isUnavailable() {
    return unavailable;
  }

  /** Records that a call to the store succeeded. */
  public void onSuccess() {
    if (!unavailable) {
      return;
    }
    unavailable = false;
    logger.atInfo().log("event=store-regained use=%s", use);
  }

  /** Records that a call to the store failed, and schedules the next call. */
  public void onFailure(Failure failure) {
    if (!unavailable) {
      unavailable = true;
      logger.atWarning().log(
          "event=store-lost use=%s code=%d detail=%s",
          use, failure.code().number(), failure.detail());
    }
    callAfter(retryDelayMillis);
  }

  /** Calls the store after a delay; replaces a call that is already scheduled. */
  public void callAfter(long delayMillis) {
    registry
        .find(TimerService.NAME)
        .send(new TimerService.Once("store-" + use, delayMillis, storeCall));
  }
}
