package org.clementinepost.storage;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/**
 * Keeps items and objects in memory, for a node that runs alone and for stand-ins.
 *
 * <p>A write computes a new immutable {@link PlatformState} and replaces the current one by
 * compare-and-set. Behind {@link PlatformService}, only the task of that service writes. The state
 * is lost when the process ends.
 */
public final class InMemoryPlatform implements TableService, ObjectStore {
  private final AtomicReference<PlatformState> state = new AtomicReference<>(PlatformState.empty());

  private InMemoryPlatform() {}

  /** Creates an empty platform. */
  public static Platform create() {
    InMemoryPlatform platform = new InMemoryPlatform();
    return new Platform(platform, platform);
  }

  @Override
  public Mono<Either<Failure, Option<Item>>> get(ItemKey key) {
    return Mono.fromSupplier(() -> Either.right(state.get().item(key)));
  }

  @Override
  public Mono<Either<Failure, Vector<Item>>> query(
      String partition, Option<String> after, int limit) {
    return Mono.fromSupplier(() -> Either.right(state.get().query(partition, after, limit)));
  }

  @Override
  public Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes) {
    return Mono.fromSupplier(() -> update(before -> before.write(writes)).map(done -> writes));
  }

  @Override
  public Mono<Either<Failure, Option<byte[]>>> get(String key) {
    return Mono.fromSupplier(() -> Either.right(state.get().object(key)));
  }

  @Override
  public Mono<Either<Failure, String>> put(String key, byte[] content) {
    return Mono.fromSupplier(
        () -> update(before -> before.putObject(key, content)).map(done -> key));
  }

  private Either<Failure, PlatformState> update(
      Function<PlatformState, Either<Failure, PlatformState>> change) {
    PlatformState before = state.get();
    Either<Failure, PlatformState> after = change.apply(before);
    while (after.isRight() && !state.compareAndSet(before, after.get())) {
      before = state.get();
      after = change.apply(before);
    }
    return after;
  }
}
