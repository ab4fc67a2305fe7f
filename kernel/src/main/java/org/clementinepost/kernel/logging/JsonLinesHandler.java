package org.clementinepost.kernel.logging;

import java.io.PrintStream;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records to standard output as JSON lines, in batches, on a dedicated thread.
 *
 * <p>Logging never blocks: records go into a bounded buffer, and records that do not fit are
 * dropped and counted. The writer thread is parked while the buffer is empty.
 */
public final class JsonLinesHandler extends Handler {
  private static final int CAPACITY_LINES = 8_192;
  private static final long BATCH_DELAY_NANOS = 50_000_000;

  /** Events that every request logs. */
  private static final Set<String> ROUTINE_EVENTS =
      Set.of("event=access", "event=placement", "event=admission", "event=slot-released");

  private final LogBuffer buffer;
  private final PrintStream out;
  private final Thread writer = new Thread(this::run, "log-writer");
  private final AtomicBoolean asleep = new AtomicBoolean();

  /** Creates a handler that writes to standard output. */
  public JsonLinesHandler() {
    this(System.out, CAPACITY_LINES);
  }

  JsonLinesHandler(PrintStream out, int capacityLines) {
    this.out = out;
    this.buffer = new LogBuffer(capacityLines, JsonLinesHandler::isRoutine);
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    buffer.offer(record);
    if (asleep.compareAndSet(true, false)) {
      LockSupport.unpark(writer);
    }
  }

  /**
   * Returns whether a record may be left out under load.
   *
   * <p>Refusals, failures and changes in the state of a backend server or node are never routine.
   */
  private static boolean isRoutine(LogRecord record) {
    String message = String.valueOf(record.getMessage());
    int end = message.indexOf(' ');
    return record.getLevel().intValue() <= Level.INFO.intValue()
        && end > 0
        && ROUTINE_EVENTS.contains(message.substring(0, end))
        && (message.contains(" result=0")
            || message.contains(" reason=less-loaded-of-two")
            || message.contains(" reason=queried"));
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      awaitLines();
      LockSupport.parkNanos(BATCH_DELAY_NANOS);
      flush();
    }
  }

  private void awaitLines() {
    while (buffer.isEmpty()) {
      asleep.set(true);
      if (buffer.isEmpty()) {
        LockSupport.park();
      }
      asleep.set(false);
    }
  }

  /** Writes all buffered records, and the number of records left out since the last call. */
  @Override
  public synchronized void flush() {
    out.print(buffer.drain());
    long dropped = buffer.takeDropped();
    long sampledOut = buffer.takeSampledOut();
    if (dropped + sampledOut > 0) {
      String message = "event=log-lines-left-out dropped=" + dropped + " sampledOut=" + sampledOut;
      out.print(LogLineFormat.format(new LogRecord(Level.WARNING, message)));
    }
    out.flush();
  }

  /** Writes all buffered records; the output stream stays open because the process owns it. */
  @Override
  public void close() {
    flush();
  }
}
