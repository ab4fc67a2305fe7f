package org.clementinepost.testing.golden;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Records the lines of a session and compares them with a golden file.
 *
 * <p>The file is {@code src/test/resources/golden/NAME.txt} of the module under test. A run with
 * {@code -Dgolden.update=true} writes the file instead; review the changes before committing them:
 *
 * <pre>mvn -B -ntp test -pl MODULE -am -Dgolden.update=true</pre>
 *
 * <p>This class is not thread-safe; use a session only on the thread of its test.
 */
public final class GoldenSession {
  /** System property: if true, golden files are written instead of compared. */
  public static final String UPDATE_PROPERTY = "golden.update";

  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");

  private final Path file;
  private final boolean updatesFile;
  private Vector<String> lines = Vector.empty();

  GoldenSession(Path file, boolean update) {
    this.file = file;
    this.updatesFile = update;
  }

  /** Creates a session for the golden file of that name in the module under test. */
  public static GoldenSession forName(String name) {
    Path module = Path.of(System.getProperty("basedir", ""));
    return new GoldenSession(
        module.resolve(FOLDER).resolve(name + ".txt"), Boolean.getBoolean(UPDATE_PROPERTY));
  }

  /** Adds a line; text that contains line breaks is added as several lines. */
  public void addLine(String line) {
    lines = lines.appendAll(Vector.of(line.split("\n", -1)));
  }

  /**
   * Compares the session with its file, or writes the file when updating.
   *
   * @throws AssertionError at the first line that differs
   */
  public void verify() {
    try {
      if (updatesFile) {
        Files.createDirectories(file.getParent());
        Files.write(file, lines);
        return;
      }
      compare(Files.exists(file) ? Vector.ofAll(Files.readAllLines(file)) : Vector.empty());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void compare(Vector<String> expected) {
    for (int i = 0; i < Math.max(expected.size(), lines.size()); i++) {
      String expectedLine = i < expected.size() ? expected.get(i) : "(end of file)";
      String actualLine = i < lines.size() ? lines.get(i) : "(end of session)";
      if (!expectedLine.equals(actualLine)) {
        throw new AssertionError(
            file
                + ":"
                + (i + 1)
                + " differs\n  expected: "
                + expectedLine
                + "\n  actual:   "
                + actualLine);
      }
    }
  }
}
