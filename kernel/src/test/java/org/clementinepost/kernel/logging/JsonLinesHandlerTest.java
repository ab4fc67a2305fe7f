package org.clementinepost.kernel.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

final class JsonLinesHandlerTest {
  private static final int CAPACITY_LINES = 100;
  private static final int FLOOD_LINES = 10_000;
  private static final Pattern LEFT_OUT =
      Pattern.compile("\"dropped\":\"(\\d+)\",\"sampledOut\":\"(\\d+)\"");

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final CountDownLatch streamUnblocked = new CountDownLatch(1);

  /** Returns a stream whose writes block until {@code streamUnblocked} is counted down. */
  private PrintStream blockedStream() {
    return new PrintStream(
        new OutputStream() {
          @Override
          public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
          }

          @Override
          public void write(byte[] bytes, int offset, int length) {
            try {
              streamUnblocked.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
          }
        });
  }

  private static void flood(JsonLinesHandler handler, Level level, String message) {
    for (int i = 0; i < FLOOD_LINES; i++) {
      handler.publish(new LogRecord(level, message));
    }
  }

  private long countLines(String event) {
    return written
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("\"event\":\"" + event + "\""))
        .count();
  }

  private long countLeftOut() {
    Matcher matcher = LEFT_OUT.matcher(written.toString(StandardCharsets.UTF_8));
    long count = 0;
    while (matcher.find()) {
      count += Long.parseLong(matcher.group(1)) + Long.parseLong(matcher.group(2));
    }
    return count;
  }

  @Test
  void doesNotBlockOnFloodAndCountsLinesLeftOut() {
    JsonLinesHandler handler = new JsonLinesHandler(blockedStream(), CAPACITY_LINES);

    flood(handler, Level.WARNING, "event=store-lost code=6001");
    streamUnblocked.countDown();
    handler.flush();

    assertThat(countLines("store-lost") + countLeftOut()).isEqualTo(FLOOD_LINES);
    assertThat(countLines("store-lost")).isLessThanOrEqualTo(2L * CAPACITY_LINES);
  }

  @Test
  void samplesRoutineLinesToKeepOthers() {
    JsonLinesHandler handler = new JsonLinesHandler(blockedStream(), CAPACITY_LINES);

    for (int i = 0; i < CAPACITY_LINES; i++) {
      handler.publish(new LogRecord(Level.INFO, "event=admission request=r result=0"));
    }
    for (int i = 0; i < CAPACITY_LINES / 4; i++) {
      handler.publish(new LogRecord(Level.INFO, "event=admission request=r result=3001"));
    }
    streamUnblocked.countDown();
    handler.flush();

    String all = written.toString(StandardCharsets.UTF_8);
    assertThat(all.lines().filter(line -> line.contains("\"result\":\"3001\"")).count())
        .isEqualTo(CAPACITY_LINES / 4);
    assertThat(countLines("admission") + countLeftOut())
        .isEqualTo(CAPACITY_LINES + CAPACITY_LINES / 4);
  }
}
