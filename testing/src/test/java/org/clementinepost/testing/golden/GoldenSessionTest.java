package org.clementinepost.testing.golden;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link GoldenSession} with golden files that an update has written. */
final class GoldenSessionTest {
  @TempDir private Path folder;

  private GoldenSession session(boolean update, String... lines) {
    GoldenSession session = new GoldenSession(folder.resolve("golden").resolve("a.txt"), update);
    for (String line : lines) {
      session.addLine(line);
    }
    return session;
  }

  @Test
  void passesWhenLinesAreEqual() {
    session(true, "one\ntwo", "three").verify();

    assertThatCode(session(false, "one", "two", "three")::verify).doesNotThrowAnyException();
  }

  @Test
  void failsWhenLineDiffers() {
    session(true, "one", "two").verify();

    assertThatThrownBy(session(false, "one", "2")::verify)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("a.txt:2");
  }

  @Test
  void failsWhenLineIsMissingOrExtra() {
    session(true, "one", "two").verify();

    assertThatThrownBy(session(false, "one")::verify).hasMessageContaining("(end of session)");
    assertThatThrownBy(session(false, "one", "two", "three")::verify)
        .hasMessageContaining("(end of file)");
  }

  @Test
  void failsWhenFileIsMissing() {
    assertThatThrownBy(session(false, "one")::verify).isInstanceOf(AssertionError.class);
  }
}
