package org.clementinepost.storage.config.source;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.ObjectJson;

/**
 * Writes published changes into a folder's files.
 *
 * <p>A file in which an object changes is written anew with the others as they stood; a new object
 * gets a file of its own.
 */
public final class FolderUpdater {
  private final Path folder;
  private final SourceSet set;
  private final Map<ObjectRef, ConfigurationObject> upserts;

  private FolderUpdater(Path folder, SourceSet set, Map<ObjectRef, ConfigurationObject> upserts) {
    this.folder = folder;
    this.set = set;
    this.upserts = upserts;
  }

  /** Writes a delta's changes. */
  public static void write(Path folder, SourceSet set, Delta delta) {
    Map<ObjectRef, ConfigurationObject> upserts =
        delta.upserts().toMap(ConfigurationObject::ref, object -> object);
    FolderUpdater edit = new FolderUpdater(folder, set, upserts);
    Vector<SourceObject> touched =
        delta.changedRefs().toVector().flatMap(ref -> set.byRef().get(ref));
    touched.map(SourceObject::file).distinct().forEach(file -> edit.rewrite(file, delta));
    delta.upserts().reject(object -> set.byRef().containsKey(object.ref())).forEach(edit::create);
  }

  private void rewrite(String file, Delta delta) {
    Vector<SourceObject> inFile = set.objects().filter(object -> object.file().equals(file));
    boolean isList = inFile.exists(object -> !object.pointer().isEmpty());
    Vector<ObjectNode> kept = inFile.flatMap(object -> updatedNode(object, delta));
    if (kept.isEmpty()) {
      delete(folder.resolve(file));
      return;
    }
    write(folder.resolve(file), isList ? JsonDocuments.newArray(kept) : kept.head());
  }

  private Option<ObjectNode> updatedNode(SourceObject object, Delta delta) {
    Option<ObjectRef> ref = object.name().map(name -> new ObjectRef(object.kind(), name));
    if (ref.isEmpty() || !delta.changedRefs().contains(ref.get())) {
      return Option.some(toNode(object));
    }
    return upserts.get(ref.get()).map(next -> withKind(object, ObjectJson.write(next)));
  }

  private static ObjectNode toNode(SourceObject object) {
    ObjectNode node = JsonDocuments.newObject();
    object.fields().forEach((name, value) -> node.set(name, value));
    return withKind(object, node);
  }

  /** A file that stands in no folder of its kind names the kind of each object. */
  private static ObjectNode withKind(SourceObject object, ObjectNode node) {
    boolean byFolder = object.file().startsWith(object.kind().folder() + "/");
    return byFolder ? node : node.put(SourceObject.KIND, object.kind().label());
  }

  private void create(ConfigurationObject object) {
    Path parent = folder.resolve(object.kind().folder());
    String name = object.name().replace(':', '_');
    Path file = parent.resolve(name + ".json");
    for (int suffix = 2; Files.exists(file); suffix++) {
      file = parent.resolve(name + "-" + suffix + ".json");
    }
    write(file, ObjectJson.write(object));
  }

  private static void write(Path file, JsonNode node) {
    try {
      Files.createDirectories(file.getParent());
      Files.writeString(file, JsonDocuments.writeIndented(node) + "\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
