package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * Explains a result code and how to resolve it, or the outcome of a request.
 *
 * <p>If log files are given, the argument is the id of a request.
 */
final class ExplainCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    if (context.options().logs().nonEmpty()) {
      return RequestLog.read(context.argument(), context.options().logs())
          .fold(Outcome::of, ExplainCommand::explain);
    }
    Option<ResultCode> code =
        Try.of(() -> Integer.parseInt(context.argument()))
            .toOption()
            .flatMap(number -> Option.ofOptional(ResultCode.ofNumber(number)))
            .orElse(() -> findByName(context.argument()));
    return code.map(ExplainCommand::explain)
        .getOrElse(
            () ->
                Outcome.of(
                    Failure.of(ResultCode.USAGE, "unknown result code " + context.argument())));
  }

  private static Outcome explain(RequestLog log) {
    return Outcome.builder(ResultCode.OK)
        .field("conclusion", log.conclusion())
        .field("lines", log.lines().size())
        .lines(log.lines().map(line -> line.origin() + " " + line.fields()))
        .line(log.conclusion())
        .build();
  }

  private static Option<ResultCode> findByName(String name) {
    return Vector.of(ResultCode.values()).find(code -> code.name().equalsIgnoreCase(name));
  }

  private static Outcome explain(ResultCode code) {
    Vector<String> text = ResultCodePages.section(code);
    return Outcome.builder(ResultCode.OK)
        .field("code", code.number())
        .field("codeName", code.name())
        .field("meaning", code.title())
        .field("httpStatus", code.httpStatus())
        .field("exitCode", code.exitCode())
        .field("run", code.runState().label())
        .field("text", text.mkString("\n").strip())
        .line(code.number() + " " + code.name() + ": " + code.title())
        .line(
            "HTTP status "
                + code.httpStatus()
                + ", exit code "
                + code.exitCode()
                + ", request "
                + code.runState().label())
        .lines(text)
        .build();
  }
}
