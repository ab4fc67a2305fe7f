package org.clementinepost.storage.config.source;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.storage.config.JsonDocuments;

/**
 * Configuration objects read from a folder of operators' files.
 *
 * <p>All {@code .json} files are read except those whose name, or the name of one of their folders,
 * starts with a dot.
 *
 * @param set the objects that could be read
 * @param findings the problems of the files and objects that could not be read
 */
public record ConfigurationFolder(SourceSet set, Vector<Finding> findings) {
  private static final String SUFFIX = ".json";
  private static final int MAX_DEPTH = 8;
  private static final String KIND_HINT =
      "put the file into a folder such as services/, or add a field such as \"kind\": \"service\"";

  private record ReadResult(Vector<SourceObject> objects, Vector<Finding> findings) {
    static ReadResult of(SourceObject object) {
      return new ReadResult(Vector.of(object), Vector.empty());
    }

    static ReadResult of(Finding finding) {
      return new ReadResult(Vector.empty(), Vector.of(finding));
    }

    ReadResult merge(ReadResult other) {
      return new ReadResult(objects.appendAll(other.objects), findings.appendAll(other.findings));
    }
  }

  /** Reads all files of a folder. */
  public static ConfigurationFolder read(Path folder) {
    ReadResult all = new ReadResult(Vector.empty(), Vector.empty());
    for (Path file : listFiles(folder)) {
      all = all.merge(readFile(folder, file));
    }
    return new ConfigurationFolder(SourceSet.of(all.objects), all.findings);
  }

  private static Vector<Path> listFiles(Path folder) {
    if (!Files.isDirectory(folder)) {
      return Vector.empty();
    }
    try (Stream<Path> paths = Files.walk(folder, MAX_DEPTH)) {
      return Vector.ofAll(paths)
          .filter(path -> Files.isRegularFile(path) && path.toString().endsWith(SUFFIX))
          .filter(path -> !isHidden(folder.relativize(path)))
          .sorted();
    } catch (IOException e) {
      return Vector.empty();
    }
  }

  private static boolean isHidden(Path relative) {
    return Vector.ofAll(relative).exists(part -> part.toString().startsWith("."));
  }

  private static ReadResult readFile(Path folder, Path path) {
    String file = folder.relativize(path).toString().replace('\\', '/');
    Either<Failure, JsonNode> document =
        Try.of(() -> Files.readAllBytes(path))
            .toEither()
            .mapLeft(
                e ->
                    Failure.of(ResultCode.CONFIGURATION_UNREADABLE, String.valueOf(e.getMessage())))
            .flatMap(JsonDocuments::read);
    if (document.isLeft()) {
      Failure failure = document.getLeft();
      return ReadResult.of(
          new Finding(file, "", failure.code(), failure.detail(), "correct the JSON of the file"));
    }
    Option<ObjectKind> byFolder = ObjectKind.ofFolder(Path.of(file).getName(0).toString());
    if (!document.get().isArray()) {
      return readObject(file, "", byFolder, document.get());
    }
    return Vector.ofAll(document.get())
        .zipWithIndex()
        .map(element -> readObject(file, "/" + element._2, byFolder, element._1))
        .fold(new ReadResult(Vector.empty(), Vector.empty()), ReadResult::merge);
  }

  private static ReadResult readObject(
      String file, String pointer, Option<ObjectKind> byFolder, JsonNode node) {
    if (!node.isObject()) {
      return ReadResult.of(
          new Finding(
              file,
              pointer,
              ResultCode.CONFIGURATION_BAD_VALUE,
              "the value is not a JSON object",
              "write an object such as {\"name\": ...}"));
    }
    JsonNode kindField = node.path(SourceObject.KIND);
    if (kindField.isMissingNode() && byFolder.isEmpty()) {
      return ReadResult.of(
          new Finding(
              file,
              pointer,
              ResultCode.CONFIGURATION_MISSING_FIELD,
              "neither the folder nor a field gives the kind of the object",
              KIND_HINT));
    }
    Option<ObjectKind> byField = ObjectKind.ofLabel(kindField.asText());
    boolean valid =
        kindField.isMissingNode() || (byField.isDefined() && isConsistent(byField, byFolder));
    if (!valid) {
      return ReadResult.of(
          new Finding(
              file,
              pointer + "/" + SourceObject.KIND,
              ResultCode.CONFIGURATION_BAD_VALUE,
              "the kind " + kindField + " is unknown or does not match the folder",
              "use one of "
                  + Vector.of(ObjectKind.values()).map(ObjectKind::label).mkString(", ")));
    }
    return ReadResult.of(SourceObject.of(byField.orElse(byFolder).get(), file, pointer, node));
  }

  private static boolean isConsistent(Option<ObjectKind> byField, Option<ObjectKind> byFolder) {
    return byFolder.isEmpty() || byFolder.equals(byField);
  }
}
