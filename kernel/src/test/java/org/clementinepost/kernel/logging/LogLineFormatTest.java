package org.clementinepost.kernel.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

final class LogLineFormatTest {
  private static String format(Level level, String message) {
    LogRecord record = new LogRecord(level, message);
    record.setInstant(Instant.ofEpochMilli(1_500));
    return LogLineFormat.format(record);
  }

  @Test
  void formatsRecordAsOneObjectWithFieldsInOrder() {
    assertThat(format(Level.INFO, "event=admission request=r-1 attempt=2 server=i-7 result=3009"))
        .isEqualTo(
            "{\"time\":\"1970-01-01T00:00:01.500Z\",\"level\":\"info\","
                + "\"event\":\"admission\",\"request\":\"r-1\",\"attempt\":\"2\","
                + "\"server\":\"i-7\",\"result\":\"3009\"}\n");
  }

  @Test
  void detailTakesRestOfMessageAndIsEscaped() {
    assertThat(format(Level.WARNING, "event=store-lost code=6001 detail=status=503 \"busy\"\n\tx"))
        .endsWith(
            "\"level\":\"warning\",\"event\":\"store-lost\",\"code\":\"6001\","
                + "\"detail\":\"status=503 \\\"busy\\\"\\n\\u0009x\"}\n");
  }

  @Test
  void appendsWordWithoutKeyToPrecedingValue() {
    assertThat(LogLineFormat.parseFields("event=a reason=no free slot code=1"))
        .containsEntry("reason", "no free slot")
        .containsEntry("code", "1");
  }

  @Test
  void keepsEmptyValue() {
    assertThat(LogLineFormat.parseFields("event=a customer= code=1"))
        .containsEntry("customer", "")
        .containsEntry("code", "1");
  }

  @Test
  void formatsMessageWithoutEventAsText() {
    assertThat(LogLineFormat.parseFields("Connection reset = by peer"))
        .containsEntry("event", "text")
        .containsEntry("detail", "Connection reset = by peer");
  }

  @Test
  void includesThrowableAndItsTopFrame() {
    LogRecord record = new LogRecord(Level.SEVERE, "event=task-failed task=host");
    record.setThrown(new IllegalStateException("broken"));

    assertThat(LogLineFormat.format(record))
        .contains("\"level\":\"error\"")
        .contains("\"error\":\"java.lang.IllegalStateException: broken\"")
        .contains("\"at\":\"org.clementinepost.kernel.logging.LogLineFormatTest");
  }
}
