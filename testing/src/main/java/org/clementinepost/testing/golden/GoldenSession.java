package org.clementinepost.testing.golden;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Collects the lines of a session and compares them with those on file.
 *
 * <p>The file is {@code src/test/resources/golden/NAME.txt} of the module under test. A run with
 * {@code -Dgolden.update=true} writes it instead, to be read before it is committed:
 *
 * <pre>mvn -B -ntp test -pl MODULE -am -Dgolden.update=true</pre>
 *
 * <p>A session belongs to the thread of its test.
 */
public final class GoldenSession {
  /** The system property that has files written instead of compared. */
  public static final String UPDATE_PROPERTY = "golden.update";

  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");

  private final Path file;
  private final boolean updatesFile;
  private Vector<String> lines = Vector.empty();

  GoldenSession(Path file, boolean update) {
    this.file = file;
    this.updatesFile = update;
  }

  /** Begins a session of the module under test. */
  public static GoldenSession forName(String name) {
    Path module = Path.of(System.getProperty("basedir", ""));
    return new GoldenSession(
        module.resolve(FOLDER).resolve(name + ".txt"), Boolean.getBoolean(UPDATE_PROPERTY));
  }

  /** Adds a line. */
  public void addLine(String line) {
    lines = lines.appendAll(Vector.of(line.split("\n", -1)));
  }

  /** Compares the session with its file, and fails at the first line that differs. */
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
      String want = i < expected.size() ? expected.get(i) : "(end of file)";
      String got = i < lines.size() ? lines.get(i) : "(end of session)";
      if (!want.equals(got)) {
        throw new AssertionError(
            file + ":" + (i + 1) + " differs\n  expected: " + want + "\n  actual:   " + got);
      }
    }
  }
}
