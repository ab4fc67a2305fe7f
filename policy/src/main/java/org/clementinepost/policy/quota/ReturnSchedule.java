package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.config.Customer;

/**
 * When the refused requests of each customer are told to come back.
 *
 * <p>It answers a customer that sends many times its rate: if all its refused requests were told
 * the time of the next token, they would come back together and all but one be refused again. Each
 * is given a later time than the one before, at the rate at which tokens become available.
 *
 * @param lastReturnNanos the latest time given to a request of each customer
 */
public record ReturnSchedule(Map<CustomerId, Long> lastReturnNanos) {
  /** A schedule on which no request has been given a time. */
  public static final ReturnSchedule EMPTY = new ReturnSchedule(HashMap.empty());

  /** A caller that is told a longer time would rather give up. */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The time given to one request. */
  public record Slot(ReturnSchedule schedule, long waitMillis) {}

  /**
   * Gives a time to a refused request.
   *
   * @param tokenWaitMillis the time until the customer's next token is available
   */
  public Slot next(Customer customer, long tokenWaitMillis, long nowNanos) {
    long tokenNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(tokenWaitMillis);
    long intervalNanos = Math.round(TimeUnit.SECONDS.toNanos(1) / customer.ratePerSecond());
    long afterLastNanos =
        lastReturnNanos.get(customer.id()).map(last -> last + intervalNanos).getOrElse(tokenNanos);
    long returnNanos = Math.min(nowNanos + MAX_WAIT_NANOS, Math.max(tokenNanos, afterLastNanos));
    return new Slot(
        new ReturnSchedule(lastReturnNanos.put(customer.id(), returnNanos)),
        TimeUnit.NANOSECONDS.toMillis(returnNanos - nowNanos));
  }
}
