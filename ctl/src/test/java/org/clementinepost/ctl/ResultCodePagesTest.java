package org.clementinepost.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares the documentation of the result codes with the code. */
final class ResultCodePagesTest {
  private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

  @ParameterizedTest
  @EnumSource(ResultCode.class)
  void tableListsEveryCode(ResultCode code) throws IOException {
    String row =
        String.format(
            "`%s` | %s | %d | %d | %s |",
            code.name(), code.title(), code.httpStatus(), code.exitCode(), code.runState().label());

    assertThat(Files.readAllLines(TABLE))
        .filteredOn(line -> line.contains("| " + row) && line.contains("" + code.number()))
        .hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(value = ResultCode.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
  void everyCodeDocumentsProblemAndFix(ResultCode code) {
    String section = ResultCodePages.section(code).mkString();

    assertThat(section).contains("**Problem.**", "**Fix.**");
  }
}
