package org.clementinepost.kernel.logging;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats a log record as a line with one JSON object.
 *
 * <p>Messages consist of {@code key=value} pairs. A word without a key is appended to the preceding
 * value, and the value of {@code detail} extends to the end of the message. A message that does not
 * start with {@code event=} becomes the {@code detail} of the event {@code text}.
 */
final class LogLineFormat {
  private static final String EVENT = "event";
  private static final String DETAIL = "detail";
  private static final String TEXT_EVENT = "text";
  private static final int FIRST_PRINTABLE = 0x20;

  private LogLineFormat() {}

  static String format(LogRecord record) {
    StringBuilder json = new StringBuilder(160);
    json.append("{\"time\":\"").append(Instant.ofEpochMilli(record.getMillis())).append('"');
    appendField(json, "level", levelName(record.getLevel()));
    parseFields(String.valueOf(record.getMessage()))
        .forEach((key, value) -> appendField(json, key, value));
    if (record.getThrown() != null) {
      appendField(json, "error", record.getThrown().toString());
      appendField(json, "at", topFrame(record.getThrown()));
    }
    return json.append("}\n").toString();
  }

  private static String levelName(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "error";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return "warning";
    }
    return level.intValue() >= Level.INFO.intValue() ? "info" : "fine";
  }

  private static String topFrame(Throwable error) {
    StackTraceElement[] trace = error.getStackTrace();
    return trace.length == 0 ? "" : trace[0].toString();
  }

  /** Returns the pairs of a message in order. */
  static Map<String, String> parseFields(String message) {
    Map<String, String> fields = new LinkedHashMap<>();
    if (!message.startsWith(EVENT + "=")) {
      fields.put(EVENT, TEXT_EVENT);
      fields.put(DETAIL, message);
      return fields;
    }
    String key = EVENT;
    int start = 0;
    while (start < message.length()) {
      int equals = keyEnd(message, start);
      if (equals < 0) {
        int end = wordEnd(message, start);
        fields.merge(key, message.substring(start, end), (before, word) -> before + " " + word);
        start = end + 1;
        continue;
      }
      key = message.substring(start, equals);
      int end = key.equals(DETAIL) ? message.length() : wordEnd(message, equals + 1);
      fields.put(key, message.substring(equals + 1, end));
      start = end + 1;
    }
    return fields;
  }

  private static int wordEnd(String message, int start) {
    int end = message.indexOf(' ', start);
    return end < 0 ? message.length() : end;
  }

  /** Returns the end of the key that starts at the given index, or -1 if no key starts there. */
  private static int keyEnd(String message, int start) {
    for (int i = start; i < message.length(); i++) {
      char c = message.charAt(i);
      if (c == '=') {
        return i > start ? i : -1;
      }
      if (!Character.isLetter(c)) {
        return -1;
      }
    }
    return -1;
  }

  private static void appendField(StringBuilder json, String key, String value) {
    json.append(",\"").append(key).append("\":\"");
    for (int i = 0; i < value.length(); i++) {
      appendEscaped(json, value.charAt(i));
    }
    json.append('"');
  }

  private static void appendEscaped(StringBuilder json, char c) {
    switch (c) {
      case '"' -> json.append("\\\"");
      case '\\' -> json.append("\\\\");
      case '\n' -> json.append("\\n");
      default -> {
        if (c < FIRST_PRINTABLE) {
          json.append(String.format("\\u%04x", (int) c));
        } else {
          json.append(c);
        }
      }
    }
  }
}
