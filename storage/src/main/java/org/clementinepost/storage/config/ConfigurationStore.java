package org.clementinepost.storage.config;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Results;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.Platform;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the published configuration from the platform.
 *
 * <p>The head item in the table names the newest version; the history has a row for each version,
 * which names the object with its delta. For the first version and at a fixed interval of versions,
 * the full snapshot is stored too.
 */
public final class ConfigurationStore {
  private static final long MAX_DELTAS = 64;
  private static final int MAX_PARALLEL_LOADS = 8;

  private final Platform platform;

  public ConfigurationStore(Platform platform) {
    this.platform = platform;
  }

  /** Reads the newest publication; none if nothing has been published. */
  public Mono<Either<Failure, Option<Publication>>> head() {
    return platform.table().get(PublicationItem.HEAD).map(ConfigurationStore::publication);
  }

  /** Reads the publication of one version. */
  public Mono<Either<Failure, Option<Publication>>> publication(long version) {
    return platform
        .table()
        .get(PublicationItem.historyKey(version))
        .map(ConfigurationStore::publication);
  }

  private static Either<Failure, Option<Publication>> publication(
      Either<Failure, Option<Item>> found) {
    return found.flatMap(
        item ->
            item.isEmpty()
                ? Either.right(Option.none())
                : PublicationItem.read(item.get()).map(Option::some));
  }

  /** Reads the newest publications, in ascending order of version. */
  public Mono<Either<Failure, Vector<Publication>>> history(int limit) {
    return Results.then(
        head(),
        head -> {
          long newest = head.map(Publication::version).getOrElse(0L);
          return loadPublications(Math.max(0, newest - limit), newest);
        });
  }

  private Mono<Either<Failure, Vector<Publication>>> loadPublications(long after, long upTo) {
    if (upTo <= after) {
      return Mono.just(Either.right(Vector.empty()));
    }
    return platform
        .table()
        .query(
            PublicationItem.HISTORY,
            Option.some(PublicationItem.sortKey(after)),
            (int) (upTo - after))
        .map(
            rows ->
                rows.flatMap(items -> Either.sequenceRight(items.map(PublicationItem::read)))
                    .map(all -> all.filter(row -> row.version() <= upTo).toVector()));
  }

  /** Loads the newest snapshot; returns the current one if there is no newer. */
  public Mono<Either<Failure, Snapshot>> loadNewerThan(Snapshot current) {
    return loadUpdate(current).map(updated -> updated.map(ConfigurationUpdate::snapshot));
  }

  /**
   * Loads the changes published since the current snapshot; ignores a head with an older version.
   */
  public Mono<Either<Failure, ConfigurationUpdate>> loadUpdate(Snapshot current) {
    return Results.then(
        head(),
        head -> {
          if (head.isEmpty() || head.get().version() <= current.version()) {
            long headVersion = head.map(Publication::version).getOrElse(0L);
            return Mono.just(
                Either.right(new ConfigurationUpdate(headVersion, current, Vector.empty())));
          }
          return advanceTo(current, head.get());
        });
  }

  /** Loads the snapshot of any version. */
  public Mono<Either<Failure, Snapshot>> load(long version) {
    if (version == 0) {
      return Mono.just(Either.right(Snapshot.empty()));
    }
    return Results.then(
        publication(version),
        found ->
            found.isEmpty()
                ? Mono.just(
                    Either.left(Failure.of(ResultCode.NO_SUCH_OBJECT, "no version " + version)))
                : advanceTo(Snapshot.empty(), found.get())
                    .map(updated -> updated.map(ConfigurationUpdate::snapshot)));
  }

  /**
   * Advances to a version, by deltas if it is few versions ahead and from a full snapshot
   * otherwise.
   */
  private Mono<Either<Failure, ConfigurationUpdate>> advanceTo(
      Snapshot current, Publication target) {
    boolean fewVersionsBehind =
        current.version() > 0 && target.version() - current.version() <= MAX_DELTAS;
    if (fewVersionsBehind || target.fullVersion() <= current.version()) {
      return Results.then(
          loadDeltas(current.version(), target.version()),
          deltas -> Mono.just(applyDeltas(current, deltas, target)));
    }
    return Results.then(
        loadObject(target.fullObject()).map(bytes -> bytes.flatMap(SnapshotJson::read)),
        full ->
            Results.then(
                loadDeltas(full.version(), target.version()),
                deltas ->
                    Mono.just(
                        applyDeltas(full, deltas, target)
                            .map(
                                update ->
                                    new ConfigurationUpdate(
                                        update.headVersion(),
                                        update.snapshot(),
                                        Vector.empty())))));
  }

  private static Either<Failure, ConfigurationUpdate> applyDeltas(
      Snapshot from, Vector<Delta> deltas, Publication target) {
    Snapshot snapshot = from;
    for (Delta delta : deltas) {
      if (delta.fromVersion() != snapshot.version()) {
        return Either.left(
            Failure.of(ResultCode.PLATFORM_PROTOCOL, "no delta from " + snapshot.version()));
      }
      snapshot = snapshot.apply(delta);
    }
    return snapshot.version() == target.version()
        ? Either.right(new ConfigurationUpdate(target.version(), snapshot, deltas))
        : Either.left(
            Failure.of(ResultCode.PLATFORM_PROTOCOL, "no delta from " + snapshot.version()));
  }

  private Mono<Either<Failure, Vector<Delta>>> loadDeltas(long after, long upTo) {
    return Results.then(
        loadPublications(after, upTo),
        rows ->
            Flux.fromIterable(rows)
                .flatMapSequential(
                    row ->
                        loadObject(row.deltaObject()).map(b -> b.flatMap(SnapshotJson::readDelta)),
                    MAX_PARALLEL_LOADS)
                .collectList()
                .map(loaded -> Either.sequenceRight(loaded).map(Vector::ofAll)));
  }

  private Mono<Either<Failure, byte[]>> loadObject(String key) {
    return platform
        .objects()
        .get(key)
        .map(
            found ->
                found.flatMap(
                    bytes -> bytes.toEither(() -> Failure.of(ResultCode.PLATFORM_NOT_FOUND, key))));
  }

  /**
   * Publishes a snapshot as the next version, without operator, time and note.
   *
   * @param next the snapshot, whose version must be that of its base plus one
   * @param publicationId distinguishes this publication from others of the same version
   */
  public Mono<Either<Failure, Snapshot>> publish(Snapshot next, String publicationId) {
    PublicationStamp stamp = new PublicationStamp(publicationId, "", 0, "");
    ConfigurationPublisher publisher = new ConfigurationPublisher(platform);
    return Results.then(
        load(next.version() - 1),
        base -> publisher.publish(base, next, stamp).map(PublishOutcomes::toSnapshot));
  }
}
