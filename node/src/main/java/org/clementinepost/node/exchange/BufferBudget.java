package org.clementinepost.node.exchange;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes of bodies that are held in memory only so that a request can be retried or its
 * response delivered as a whole.
 *
 * <p>When it is spent, buffering gives way: further bodies are streamed at the pace of their
 * reader, and their requests can't be retried after the stream has begun.
 */
public final class BufferBudget {
  private static final long HEAP_DIVISOR = 8;

  /** The budget that all nodes of this process share, as they share its heap. */
  public static final BufferBudget PROCESS =
      new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /** Creates a budget of the given size. */
  public BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes; returns whether there were enough, and reserves none otherwise. */
  public boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Releases bytes that were reserved. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  long reservedBytes() {
    return reservedBytes.get();
  }
}
