package org.clementinepost.storage.config;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Supplier;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Results;
import org.clementinepost.storage.ItemCondition;
import org.clementinepost.storage.ItemWrite;
import org.clementinepost.storage.Platform;
import reactor.core.publisher.Mono;

/**
 * Publishes a snapshot as the next version.
 *
 * <p>The delta and, at intervals, the full snapshot are written to the object store first. Then one
 * transaction moves the head item, on condition that it still names the base version, and adds the
 * history row of the new version. If the response is lost, the publication id in that row shows
 * whose write took effect. As long as there is no row, the same transaction is sent again, which
 * can take effect only once.
 */
public final class ConfigurationPublisher {
  private static final int MAX_ATTEMPTS = 5;
  private static final long VERSIONS_PER_FULL_SNAPSHOT = 64;
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final Platform platform;
  private final ConfigurationStore store;
  private final Duration retryDelay;

  public ConfigurationPublisher(Platform platform) {
    this(platform, RETRY_DELAY);
  }

  /** Creates a publisher that waits for the given delay between attempts. */
  public ConfigurationPublisher(Platform platform, Duration retryDelay) {
    this.platform = platform;
    this.store = new ConfigurationStore(platform);
    this.retryDelay = retryDelay;
  }

  private record PreparedPublication(
      Snapshot base, Snapshot next, Delta delta, Publication publication) {}

  /**
   * Publishes a snapshot.
   *
   * @param base the published snapshot that the new one is derived from
   * @param changed the objects of the new version; its version number is ignored
   */
  public Mono<PublishOutcome> publish(Snapshot base, Snapshot changed, PublicationStamp stamp) {
    Snapshot next = changed.withVersion(base.version() + 1);
    Delta delta = Delta.between(base, next);
    return store
        .head()
        .flatMap(
            found -> {
              if (found.isLeft()) {
                return failedOutcome(found.getLeft());
              }
              long headVersion = found.get().map(Publication::version).getOrElse(0L);
              if (headVersion != base.version()) {
                return conflictOutcome(base, delta);
              }
              return delta.isEmpty()
                  ? Mono.just(new PublishOutcome.Unchanged(base))
                  : storeObjectsAndMoveHead(prepare(base, next, delta, stamp, found.get()));
            });
  }

  private static PreparedPublication prepare(
      Snapshot base, Snapshot next, Delta delta, PublicationStamp stamp, Option<Publication> head) {
    String name = next.version() + "-" + stamp.publicationId() + ".json";
    boolean storeFull = head.isEmpty() || next.version() % VERSIONS_PER_FULL_SNAPSHOT == 0;
    Publication publication =
        new Publication(
            next.version(),
            stamp,
            "deltas/" + name,
            storeFull ? next.version() : head.get().fullVersion(),
            storeFull ? "snapshots/" + name : head.get().fullObject());
    return new PreparedPublication(base, next, delta, publication);
  }

  private Mono<PublishOutcome> storeObjectsAndMoveHead(PreparedPublication prepared) {
    Publication publication = prepared.publication();
    Mono<Either<Failure, String>> delta =
        putWithRetries(publication.deltaObject(), () -> SnapshotJson.write(prepared.delta()));
    Mono<Either<Failure, String>> allObjects =
        publication.fullVersion() < publication.version()
            ? delta
            : Results.then(
                delta,
                done ->
                    putWithRetries(
                        publication.fullObject(), () -> SnapshotJson.write(prepared.next())));
    return allObjects.flatMap(
        stored -> stored.isLeft() ? failedOutcome(stored.getLeft()) : moveHead(prepared, 1, false));
  }

  /** Stores an object; repeating the write is safe, since an object never changes. */
  private Mono<Either<Failure, String>> putWithRetries(String key, Supplier<byte[]> content) {
    return Mono.defer(() -> putWithRetries(key, content.get(), 1));
  }

  private Mono<Either<Failure, String>> putWithRetries(String key, byte[] content, int attempt) {
    return platform
        .objects()
        .put(key, content)
        .flatMap(
            stored ->
                stored.isRight() || attempt == MAX_ATTEMPTS
                    ? Mono.just(stored)
                    : afterRetryDelay(() -> putWithRetries(key, content, attempt + 1)));
  }

  private Mono<PublishOutcome> moveHead(
      PreparedPublication prepared, int attempt, boolean uncertain) {
    return platform
        .table()
        .write(headTransaction(prepared))
        .flatMap(
            written -> {
              if (written.isRight()) {
                return publishedOutcome(prepared);
              }
              boolean nowUncertain = uncertain || mayHaveTakenEffect(written.getLeft());
              return resolveByReadBack(prepared, attempt, nowUncertain, written.getLeft());
            });
  }

  private static Vector<ItemWrite> headTransaction(PreparedPublication prepared) {
    Publication publication = prepared.publication();
    ItemCondition headCondition =
        prepared.base().version() == 0
            ? new ItemCondition.Absent()
            : new ItemCondition.AtVersion(prepared.base().version());
    return Vector.of(
        new ItemWrite(
            PublicationItem.HEAD,
            headCondition,
            Option.some(PublicationItem.write(PublicationItem.HEAD, publication))),
        new ItemWrite(
            PublicationItem.historyKey(publication.version()),
            new ItemCondition.Absent(),
            Option.some(
                PublicationItem.write(
                    PublicationItem.historyKey(publication.version()), publication))));
  }

  private static boolean mayHaveTakenEffect(Failure failure) {
    return failure.code() != ResultCode.PLATFORM_CONDITION_FAILED
        && failure.code() != ResultCode.PLATFORM_THROTTLED;
  }

  /** Reads the version's row to find out whose write took effect. */
  private Mono<PublishOutcome> resolveByReadBack(
      PreparedPublication prepared, int attempt, boolean uncertain, Failure writeFailure) {
    return store
        .publication(prepared.publication().version())
        .flatMap(
            found -> {
              if (found.isRight() && found.get().isDefined()) {
                return isOwnPublication(prepared, found.get().get())
                    ? publishedOutcome(prepared)
                    : conflictOutcome(prepared.base(), prepared.delta());
              }
              return attempt < MAX_ATTEMPTS
                  ? afterRetryDelay(() -> moveHead(prepared, attempt + 1, uncertain))
                  : failedOutcome(uncertain ? uncertainFailure(prepared) : writeFailure);
            });
  }

  private static boolean isOwnPublication(PreparedPublication prepared, Publication row) {
    return row.stamp().publicationId().equals(prepared.publication().stamp().publicationId());
  }

  private static Failure uncertainFailure(PreparedPublication prepared) {
    return Failure.of(
        ResultCode.PUBLISH_UNCERTAIN,
        "version "
            + prepared.publication().version()
            + " publication "
            + prepared.publication().stamp().publicationId());
  }

  private <T> Mono<T> afterRetryDelay(Supplier<Mono<T>> next) {
    return retryDelay.isZero()
        ? Mono.defer(next)
        : Mono.delay(retryDelay).flatMap(elapsed -> next.get());
  }

  private static Mono<PublishOutcome> publishedOutcome(PreparedPublication prepared) {
    return Mono.just(new PublishOutcome.Published(prepared.next(), prepared.publication()));
  }

  private static Mono<PublishOutcome> failedOutcome(Failure failure) {
    return Mono.just(new PublishOutcome.Failed(failure));
  }

  private Mono<PublishOutcome> conflictOutcome(Snapshot base, Delta ownDelta) {
    return store
        .loadUpdate(base)
        .map(
            updated ->
                updated.fold(
                    PublishOutcome.Failed::new,
                    update ->
                        new PublishOutcome.Conflict(
                            base.version(),
                            update.snapshot(),
                            Delta.between(base, update.snapshot()).changedRefs(),
                            ownDelta.changedRefs())));
  }
}
