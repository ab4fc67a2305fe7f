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
  private static final long FULL_EVERY_VERSIONS = 64;
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

  private record Draft(Snapshot base, Snapshot next, Delta delta, Publication publication) {}

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
                return failed(found.getLeft());
              }
              long headVersion = found.get().map(Publication::version).getOrElse(0L);
              if (headVersion != base.version()) {
                return conflict(base, delta);
              }
              return delta.isEmpty()
                  ? Mono.just(new PublishOutcome.Unchanged(base))
                  : write(draft(base, next, delta, stamp, found.get()));
            });
  }

  private static Draft draft(
      Snapshot base, Snapshot next, Delta delta, PublicationStamp stamp, Option<Publication> head) {
    String name = next.version() + "-" + stamp.publicationId() + ".json";
    boolean full = head.isEmpty() || next.version() % FULL_EVERY_VERSIONS == 0;
    Publication publication =
        new Publication(
            next.version(),
            stamp,
            "deltas/" + name,
            full ? next.version() : head.get().fullVersion(),
            full ? "snapshots/" + name : head.get().fullObject());
    return new Draft(base, next, delta, publication);
  }

  private Mono<PublishOutcome> write(Draft draft) {
    Publication publication = draft.publication();
    Mono<Either<Failure, String>> delta =
        put(publication.deltaObject(), () -> SnapshotJson.write(draft.delta()));
    Mono<Either<Failure, String>> both =
        publication.fullVersion() < publication.version()
            ? delta
            : Results.then(
                delta,
                done -> put(publication.fullObject(), () -> SnapshotJson.write(draft.next())));
    return both.flatMap(
        stored -> stored.isLeft() ? failed(stored.getLeft()) : moveHead(draft, 1, false));
  }

  /** Objects are written once, so writing the same one again does no harm. */
  private Mono<Either<Failure, String>> put(String key, Supplier<byte[]> content) {
    return Mono.defer(() -> put(key, content.get(), 1));
  }

  private Mono<Either<Failure, String>> put(String key, byte[] content, int attempt) {
    return platform
        .objects()
        .put(key, content)
        .flatMap(
            stored ->
                stored.isRight() || attempt == MAX_ATTEMPTS
                    ? Mono.just(stored)
                    : later(() -> put(key, content, attempt + 1)));
  }

  private Mono<PublishOutcome> moveHead(Draft draft, int attempt, boolean doubt) {
    return platform
        .table()
        .write(writes(draft))
        .flatMap(
            written -> {
              if (written.isRight()) {
                return published(draft);
              }
              boolean doubtNow = doubt || inDoubt(written.getLeft());
              return resolve(draft, attempt, doubtNow, written.getLeft());
            });
  }

  private static Vector<ItemWrite> writes(Draft draft) {
    Publication publication = draft.publication();
    ItemCondition headCondition =
        draft.base().version() == 0
            ? new ItemCondition.Absent()
            : new ItemCondition.AtVersion(draft.base().version());
    return Vector.of(
        new ItemWrite(
            PublicationItem.HEAD,
            headCondition,
            Option.some(PublicationItem.of(PublicationItem.HEAD, publication))),
        new ItemWrite(
            PublicationItem.historyKey(publication.version()),
            new ItemCondition.Absent(),
            Option.some(
                PublicationItem.of(
                    PublicationItem.historyKey(publication.version()), publication))));
  }

  private static boolean inDoubt(Failure failure) {
    return failure.code() != ResultCode.PLATFORM_CONDITION_FAILED
        && failure.code() != ResultCode.PLATFORM_THROTTLED;
  }

  /** Reads back whose write of the version took effect. */
  private Mono<PublishOutcome> resolve(
      Draft draft, int attempt, boolean doubt, Failure writeFailure) {
    return store
        .publication(draft.publication().version())
        .flatMap(
            found -> {
              if (found.isRight() && found.get().isDefined()) {
                return isMine(draft, found.get().get())
                    ? published(draft)
                    : conflict(draft.base(), draft.delta());
              }
              return attempt < MAX_ATTEMPTS
                  ? later(() -> moveHead(draft, attempt + 1, doubt))
                  : failed(doubt ? uncertain(draft) : writeFailure);
            });
  }

  private static boolean isMine(Draft draft, Publication row) {
    return row.stamp().publicationId().equals(draft.publication().stamp().publicationId());
  }

  private static Failure uncertain(Draft draft) {
    return Failure.of(
        ResultCode.PUBLISH_UNCERTAIN,
        "version "
            + draft.publication().version()
            + " publication "
            + draft.publication().stamp().publicationId());
  }

  private <T> Mono<T> later(Supplier<Mono<T>> next) {
    return retryDelay.isZero()
        ? Mono.defer(next)
        : Mono.delay(retryDelay).flatMap(elapsed -> next.get());
  }

  private static Mono<PublishOutcome> published(Draft draft) {
    return Mono.just(new PublishOutcome.Published(draft.next(), draft.publication()));
  }

  private static Mono<PublishOutcome> failed(Failure failure) {
    return Mono.just(new PublishOutcome.Failed(failure));
  }

  private Mono<PublishOutcome> conflict(Snapshot base, Delta mine) {
    return store
        .update(base)
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
