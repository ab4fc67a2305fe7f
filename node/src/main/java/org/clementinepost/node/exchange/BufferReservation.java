package org.clementinepost.node.exchange;

import java.util.concurrent.atomic.AtomicLong;

/** What the buffered beginning of one body has reserved in a {@link BufferBudget}. */
public final class BufferReservation {
  private final BufferBudget budget;
  private final AtomicLong reservedBytes = new AtomicLong();
  private long totalBytes;

  /** Creates a reservation of nothing. */
  public BufferReservation(BufferBudget budget) {
    this.budget = budget;
  }

  /**
   * Reserves the bytes of a further chunk; returns whether the chunk may be buffered. The first
   * {@link BodyBuffer#UNBUDGETED_BYTES} of a body may always be.
   */
  public boolean tryAdd(int bytes) {
    totalBytes += bytes;
    if (totalBytes <= BodyBuffer.UNBUDGETED_BYTES) {
      return true;
    }
    if (!budget.tryReserve(bytes)) {
      return false;
    }
    reservedBytes.addAndGet(bytes);
    return true;
  }

  /** Whether nothing is reserved. */
  public boolean isEmpty() {
    return reservedBytes.get() == 0;
  }

  /** Releases all that is reserved. */
  public void release() {
    budget.release(reservedBytes.getAndSet(0));
  }
}
