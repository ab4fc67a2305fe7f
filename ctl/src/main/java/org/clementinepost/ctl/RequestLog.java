package org.clementinepost.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.RunState;

/**
 * Log lines of one request, in chronological order.
 *
 * @param lines the lines
 */
record RequestLog(Vector<Line> lines) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String STANDARD_INPUT = "-";

  /**
   * Log line.
   *
   * @param origin the text before the JSON object on the line, or the name of the file
   * @param fields the fields of the JSON object
   */
  record Line(String origin, JsonNode fields) {
    String text(String field) {
      return fields.path(field).asText();
    }

    boolean isEvent(String event) {
      return text("event").equals(event);
    }
  }

  /** Reads the lines of a request from files; {@code -} is standard input. */
  static Either<Failure, RequestLog> read(String request, Vector<String> files) {
    Vector<Line> lines = Vector.empty();
    for (String file : files) {
      try (Reader reader = open(file)) {
        lines = lines.appendAll(linesOfRequest(request, file, reader));
      } catch (IOException e) {
        return Either.left(Failure.of(ResultCode.USAGE, "cannot read " + file + ": " + e));
      }
    }
    return Either.right(new RequestLog(lines.sortBy(line -> line.text("time"))));
  }

  private static Reader open(String file) throws IOException {
    return file.equals(STANDARD_INPUT)
        ? new InputStreamReader(System.in, StandardCharsets.UTF_8)
        : Files.newBufferedReader(Path.of(file));
  }

  private static Vector<Line> linesOfRequest(String request, String file, Reader reader) {
    return Vector.ofAll(new BufferedReader(reader).lines())
        .filter(text -> text.contains(request))
        .flatMap(text -> parseLine(file, text))
        .filter(line -> line.text("request").equals(request));
  }

  /** Parses a line; a line without a JSON object is not a log line of a node and is skipped. */
  private static Option<Line> parseLine(String file, String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Option.none();
    }
    try {
      String before = text.substring(0, start).strip();
      return Option.some(
          new Line(before.isEmpty() ? file : before, MAPPER.readTree(text.substring(start))));
    } catch (JsonProcessingException e) {
      return Option.none();
    }
  }

  /** Returns the outcome of the request, in one sentence. */
  String conclusion() {
    if (lines.isEmpty()) {
      return "No line of this request is in these logs.";
    }
    Option<Line> answer = lines.findLast(line -> line.isEvent("answer"));
    if (answer.isEmpty()) {
      return "A backend server answered, or the end of the request is not in these logs.";
    }
    String status = answer.get().text("status");
    Option<ResultCode> code = parseCode(answer.get().text("code"));
    String outcome =
        code.map(
                known ->
                    "the node answered "
                        + status
                        + " for "
                        + describeCode(known)
                        + ", request "
                        + known.runState().label())
            .getOrElse("a backend server answered " + status);
    boolean refused = code.forAll(known -> known.runState() == RunState.NOT_RUN);
    return "After " + answer.get().text("millis") + " ms " + outcome + cause(refused) + ".";
  }

  /**
   * Describes the last failure before the answer; a refusal is a cause only if the request was
   * refused.
   */
  private String cause(boolean refused) {
    return lines
        .findLast(line -> line.isEvent("exchange") || (refused && isRefusal(line)))
        .map(RequestLog::describeFailure)
        .getOrElse("");
  }

  private static boolean isRefusal(Line line) {
    return line.isEvent("admission") && !line.text("result").equals("0");
  }

  private static String describeFailure(Line line) {
    String server = line.text("server");
    if (line.isEvent("admission")) {
      return "; the host of "
          + server
          + " refused it last: "
          + parseCode(line.text("result"))
              .map(RequestLog::describeCode)
              .getOrElse(line.text("result"));
    }
    return "; "
        + server
        + " failed it last: "
        + parseCode(line.text("code"))
            .map(RequestLog::describeCode)
            .getOrElse("status " + line.text("status"));
  }

  private static String describeCode(ResultCode code) {
    return code.number() + " " + code.title();
  }

  private static Option<ResultCode> parseCode(String number) {
    return Option.of(number)
        .filter(text -> text.matches("[1-9][0-9]{0,4}"))
        .flatMap(text -> Option.ofOptional(ResultCode.ofNumber(Integer.parseInt(text))));
  }
}
