package reviewkit;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what a case has sent, received and observed, with the time since its start. */
public final class Record implements AutoCloseable {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  public Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public double seconds(long nanos) {
    return (nanos - startNanos) / NANOS_PER_SECOND;
  }

  public synchronized void write(String format, Object... arguments) {
    out.printf(Locale.ROOT, "%8.3f ", seconds(System.nanoTime()));
    out.printf(Locale.ROOT, format, arguments);
    out.println();
  }

  /** Writes a line to the record and to standard output. */
  public void report(String format, Object... arguments) {
    write(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
