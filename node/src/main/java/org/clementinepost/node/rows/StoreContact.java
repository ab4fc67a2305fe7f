package org.clementinepost.node.rows;

import com.google.common.flogger.FluentLogger;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Registry;
import org.clementinepost.kernel.TimerService;

/** Tells the log when one use of the store is lost and regained, and asks again after a while. */
public final class StoreContact {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String use;
  private final Registry registry;
  private final long retryMillis;
  private final Runnable ask;
  private boolean lost;

  /**
   * Starts in contact.
   *
   * @param use what the store is used for
   * @param registry finds the timer
   * @param retryMillis the wait before the store is asked again
   * @param ask asks the store
   */
  public StoreContact(String use, Registry registry, long retryMillis, Runnable ask) {
    this.use = use;
    this.registry = registry;
    this.retryMillis = retryMillis;
    this.ask = ask;
  }

  /** Whether the store has not answered last. */
  public boolean isLost() {
    return lost;
  }

  /** The store has answered. */
  public void regained() {
    if (!lost) {
      return;
    }
    lost = false;
    logger.atInfo().log("event=store-regained use=%s", use);
  }

  /** The store has not answered, or cannot. */
  public void lost(Failure failure) {
    if (!lost) {
      lost = true;
      logger.atWarning().log(
          "event=store-lost use=%s code=%d detail=%s",
          use, failure.code().number(), failure.detail());
    }
    askAfter(retryMillis);
  }

  /** Asks after a wait; a wait that has not ended is replaced. */
  public void askAfter(long delayMillis) {
    registry.find(TimerService.NAME).send(new TimerService.Once("store-" + use, delayMillis, ask));
  }
}
