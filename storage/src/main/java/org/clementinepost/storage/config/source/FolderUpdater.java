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
 * Applies published changes to the files of a folder.
 *
 * <p>A file with a changed object is rewritten with its other objects unchanged; a new object gets
 * its own file.
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

  /** Applies a delta to the files of a folder. */
  public static void write(Path folder, SourceSet set, Delta delta) {
    Map<ObjectRef, ConfigurationObject> upserts =
        delta.upserts().toMap(ConfigurationObject::ref, object -> object);
    FolderUpdater updater = new FolderUpdater(folder, set, upserts);
    Vector<SourceObject> changed =
        delta.changedRefs().toVector().flatMap(ref -> set.byRef().get(ref));
    changed.map(SourceObject::file).distinct().forEach(file -> updater.rewrite(file, delta));
    delta
        .upserts()
        .reject(object -> set.byRef().containsKey(object.ref()))
        .forEach(updater::create);
  }

  private void rewrite(String file, Delta delta) {
    Vector<SourceObject> inFile = set.objects().filter(object -> object.file().equals(file));
    boolean isList = inFile.exists(object -> !object.pointer().isEmpty());
    Vector<ObjectNode> nodes = inFile.flatMap(object -> updatedNode(object, delta));
    if (nodes.isEmpty()) {
      delete(folder.resolve(file));
      return;
    }
    write(folder.resolve(file), isList ? JsonDocuments.newArray(nodes) : nodes.head());
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

  /** Adds the field {@code kind} if the file is not in the folder of the object's kind. */
  private static ObjectNode withKind(SourceObject object, ObjectNode node) {
    boolean inKindFolder = object.file().startsWith(object.kind().folder() + "/");
    return inKindFolder ? node : node.put(SourceObject.KIND, object.kind().label());
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
