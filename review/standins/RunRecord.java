import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the milliseconds since its start. */
final class RunRecord implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000L;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%7d ", millis());
    out.printf(format, arguments);
    out.println();
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
