package org.clementinepost.node.rows;

import com.google.common.flogger.FluentLogger;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.TimerService;

/** Tells the log when one use of the store is lost and regained, and asks again after a while. */
public final class StoreAvailability {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String use;
  private final Registry registry;
  private final long retryDelayMillis;
  private final Runnable storeCall;
  private boolean unavailable;

  /**
   * Starts in contact.
   *
   * @param use what the store is used for
   * @param registry finds the timer
   * @param retryMillis the wait before the store is asked again
   * @param ask asks the store
   */
  public StoreAvailability(String use, Registry registry, long retryMillis, Runnable ask) {
    this.use = use;
    this.registry = registry;
    this.retryDelayMillis = retryMillis;
    this.storeCall = ask;
  }

  /** Whether the store has not answered last. */
  public boolean isUnavailable() {
    return unavailable;
  }

  /** The store has answered. */
  public void onSuccess() {
    if (!unavailable) {
      return;
    }
    unavailable = false;
    logger.atInfo().log("event=store-regained use=%s", use);
  }

  /** The store has not answered, or cannot. */
  public void onFailure(Failure failure) {
    if (!unavailable) {
      unavailable = true;
      logger.atWarning().log(
          "event=store-lost use=%s code=%d detail=%s",
          use, failure.code().number(), failure.detail());
    }
    callAfter(retryDelayMillis);
  }

  /** Asks after a wait; a wait that has not ended is replaced. */
  public void callAfter(long delayMillis) {
    registry
        .find(TimerService.NAME)
        .send(new TimerService.Once("store-" + use, delayMillis, storeCall));
  }
}
