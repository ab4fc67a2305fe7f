package org.clementinepost.ctl;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.storage.config.JsonDocuments;

/**
 * Reads and writes the hidden file that records the published version on which a folder is based.
 *
 * <p>Publishing the folder against another version would silently undo the changes published in
 * between.
 */
final class BaseVersionFile {
  private static final String FILE = ".base.json";
  private static final String VERSION = "version";

  private BaseVersionFile() {}

  static Option<Long> read(Path folder) {
    return Try.of(() -> Files.readAllBytes(folder.resolve(FILE)))
        .toOption()
        .flatMap(bytes -> JsonDocuments.read(bytes).toOption())
        .filter(node -> node.path(VERSION).isIntegralNumber())
        .map(node -> node.path(VERSION).asLong());
  }

  static void write(Path folder, long version) {
    try {
      Files.write(
          folder.resolve(FILE),
          JsonDocuments.write(JsonDocuments.newObject().put(VERSION, version)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the version given on the command line, else the stored one, else 0 for no version. */
  static long baseVersion(CommandContext context) {
    return context.options().base().orElse(() -> read(context.folder())).getOrElse(0L);
  }
}
