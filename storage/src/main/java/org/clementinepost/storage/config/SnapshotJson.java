package org.clementinepost.storage.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;

/** Writes and reads full snapshots and deltas as JSON documents. */
public final class SnapshotJson {
  private static final String VERSION = "version";
  private static final String OBJECTS = "objects";
  private static final String FROM_VERSION = "fromVersion";
  private static final String TO_VERSION = "toVersion";
  private static final String REMOVALS = "removals";
  private static final String UPSERTS = "upserts";

  private SnapshotJson() {}

  /** Writes a snapshot. */
  public static byte[] write(Snapshot snapshot) {
    ObjectNode root = JsonDocuments.newObject().put(VERSION, snapshot.version());
    root.set(OBJECTS, ObjectListJson.write(snapshot.objects()));
    return JsonDocuments.write(root);
  }

  /** Reads a snapshot. */
  public static Either<Failure, Snapshot> read(byte[] json) {
    return JsonDocuments.read(json).map(SnapshotJson::toSnapshot);
  }

  private static Snapshot toSnapshot(JsonNode root) {
    Snapshot snapshot = Snapshot.empty().withVersion(root.path(VERSION).asLong());
    for (ConfigurationObject object : ObjectListJson.read(root.path(OBJECTS))) {
      snapshot = snapshot.with(object);
    }
    return snapshot;
  }

  /** Writes a delta. */
  public static byte[] write(Delta delta) {
    ObjectNode root =
        JsonDocuments.newObject()
            .put(FROM_VERSION, delta.fromVersion())
            .put(TO_VERSION, delta.toVersion());
    root.set(REMOVALS, ObjectListJson.write(delta.removals()));
    root.set(UPSERTS, ObjectListJson.write(delta.upserts()));
    return JsonDocuments.write(root);
  }

  /** Reads a delta. */
  public static Either<Failure, Delta> readDelta(byte[] json) {
    return JsonDocuments.read(json)
        .map(
            root ->
                new Delta(
                    root.path(FROM_VERSION).asLong(),
                    root.path(TO_VERSION).asLong(),
                    ObjectListJson.read(root.path(REMOVALS)),
                    ObjectListJson.read(root.path(UPSERTS))));
  }
}
