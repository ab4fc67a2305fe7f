package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.clementinepost.api.ResultCode;

/** Documentation pages of the result codes, one per family, bundled as resources. */
final class ResultCodePages {
  private static final int FAMILY_SIZE = 1_000;
  private static final String SECTION = "## ";

  private ResultCodePages() {}

  /** Returns the section of a code, without its heading; empty if the code has none. */
  static Vector<String> section(ResultCode code) {
    return page(code)
        .map(
            lines ->
                lines
                    .dropUntil(line -> line.startsWith(SECTION + code.number() + " "))
                    .drop(1)
                    .takeUntil(line -> line.startsWith(SECTION)))
        .getOrElse(Vector::empty);
  }

  private static Option<Vector<String>> page(ResultCode code) {
    String resource = "/result-codes/" + code.number() / FAMILY_SIZE + "xxx.md";
    return Try.withResources(() -> ResultCodePages.class.getResourceAsStream(resource))
        .of(InputStream::readAllBytes)
        .map(bytes -> Vector.of(new String(bytes, StandardCharsets.UTF_8).split("\n", -1)))
        .toOption();
  }
}
