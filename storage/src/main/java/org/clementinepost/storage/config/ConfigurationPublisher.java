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
 * <p>The objects are written first. Then one transaction moves the head, on condition that it still
 * stands at the base version, and adds the version's row. When the answer is lost, the row tells by
 * its publication id whose write took effect; as long as there is no row, the same transaction is
 * sent again, which can take effect only once.
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

  /** Creates a publisher that waits so long between attempts. */
  public ConfigurationPublisher(Platform platform, Duration retryDelay) {
    this.platform = platform;
    this.store = new ConfigurationStore(platform);
    this.retryDelay = retryDelay;
  }

  private record PreparedPublication(
      Snapshot base, Snapshot next, Delta delta, Publication publication) {}

  /**
   * Publishes.
   *
   * @param base the snapshot, as published, that the next one was made from
   * @param changed the objects of the next version; its version number does not matter
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
    boolean full = head.isEmpty() || next.version() % VERSIONS_PER_FULL_SNAPSHOT == 0;
    Publication publication =
        new Publication(
            next.version(),
            stamp,
            "deltas/" + name,
            full ? next.version() : head.get().fullVersion(),
            full ? "snapshots/" + name : head.get().fullObject());
    return new PreparedPublication(base, next, delta, publication);
  }

  private Mono<PublishOutcome> storeObjectsAndMoveHead(PreparedPublication draft) {
    Publication publication = draft.publication();
    Mono<Either<Failure, String>> delta =
        putWithRetries(publication.deltaObject(), () -> SnapshotJson.write(draft.delta()));
    Mono<Either<Failure, String>> both =
        publication.fullVersion() < publication.version()
            ? delta
            : Results.then(
                delta,
                done ->
                    putWithRetries(
                        publication.fullObject(), () -> SnapshotJson.write(draft.next())));
    return both.flatMap(
        stored -> stored.isLeft() ? failedOutcome(stored.getLeft()) : moveHead(draft, 1, false));
  }

  /** Objects are written once, so writing the same one again does no harm. */
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

  private Mono<PublishOutcome> moveHead(PreparedPublication draft, int attempt, boolean doubt) {
    return platform
        .table()
        .write(headTransaction(draft))
        .flatMap(
            written -> {
              if (written.isRight()) {
                return publishedOutcome(draft);
              }
              boolean doubtNow = doubt || mayHaveTakenEffect(written.getLeft());
              return resolveByReadBack(draft, attempt, doubtNow, written.getLeft());
            });
  }

  private static Vector<ItemWrite> headTransaction(PreparedPublication draft) {
    Publication publication = draft.publication();
    ItemCondition headCondition =
        draft.base().version() == 0
            ? new ItemCondition.Absent()
            : new ItemCondition.AtVersion(draft.base().version());
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

  /** Reads back whose write of the version took effect. */
  private Mono<PublishOutcome> resolveByReadBack(
      PreparedPublication draft, int attempt, boolean doubt, Failure writeFailure) {
    return store
        .publication(draft.publication().version())
        .flatMap(
            found -> {
              if (found.isRight() && found.get().isDefined()) {
                return isOwnPublication(draft, found.get().get())
                    ? publishedOutcome(draft)
                    : conflictOutcome(draft.base(), draft.delta());
              }
              return attempt < MAX_ATTEMPTS
                  ? afterRetryDelay(() -> moveHead(draft, attempt + 1, doubt))
                  : failedOutcome(doubt ? uncertainFailure(draft) : writeFailure);
            });
  }

  private static boolean isOwnPublication(PreparedPublication draft, Publication row) {
    return row.stamp().publicationId().equals(draft.publication().stamp().publicationId());
  }

  private static Failure uncertainFailure(PreparedPublication draft) {
    return Failure.of(
        ResultCode.PUBLISH_UNCERTAIN,
        "version "
            + draft.publication().version()
            + " publication "
            + draft.publication().stamp().publicationId());
  }

  private <T> Mono<T> afterRetryDelay(Supplier<Mono<T>> next) {
    return retryDelay.isZero()
        ? Mono.defer(next)
        : Mono.delay(retryDelay).flatMap(elapsed -> next.get());
  }

  private static Mono<PublishOutcome> publishedOutcome(PreparedPublication draft) {
    return Mono.just(new PublishOutcome.Published(draft.next(), draft.publication()));
  }

  private static Mono<PublishOutcome> failedOutcome(Failure failure) {
    return Mono.just(new PublishOutcome.Failed(failure));
  }

  private Mono<PublishOutcome> conflictOutcome(Snapshot base, Delta mine) {
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
                            mine.changedRefs())));
  }
}
