package org.clementinepost.storage.config;

import io.vavr.collection.Queue;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Supplier;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.InMemoryPlatform;
import org.clementinepost.storage.Item;
import org.clementinepost.storage.ItemKey;
import org.clementinepost.storage.ItemWrite;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.TableService;
import reactor.core.publisher.Mono;

/**
 * In-memory platform that injects queued faults into writes and reads of the table, one per call.
 */
final class FaultyPlatform implements TableService {
  /** Fault injected into one call; the argument executes the call. */
  interface Fault<T>
      extends Function<Supplier<Mono<Either<Failure, T>>>, Mono<Either<Failure, T>>> {
    /** Executes the call and loses its response. */
    static <T> Fault<T> loseReply() {
      return call -> call.get().map(done -> Either.left(unavailable()));
    }

    /** Loses the request; the call is not executed. */
    static <T> Fault<T> loseRequest() {
      return call -> Mono.just(Either.left(unavailable()));
    }

    /** Runs another action just before the call is executed. */
    static <T> Fault<T> precededBy(Runnable action) {
      return call -> Mono.fromRunnable(action).then(Mono.defer(call));
    }
  }

  private static Failure unavailable() {
    return Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "lost");
  }

  private final Platform delegate = InMemoryPlatform.create();
  private Queue<Fault<Vector<ItemWrite>>> writeFaults = Queue.empty();
  private Queue<Fault<Option<Item>>> readFaults = Queue.empty();
  private int readCount;

  Platform platform() {
    return new Platform(this, delegate.objects());
  }

  /** Returns the same platform without injected faults. */
  Platform withoutFaults() {
    return delegate;
  }

  void enqueueWriteFault(Fault<Vector<ItemWrite>> fault) {
    writeFaults = writeFaults.enqueue(fault);
  }

  void enqueueReadFault(Fault<Option<Item>> fault) {
    readFaults = readFaults.enqueue(fault);
  }

  int readCount() {
    return readCount;
  }

  @Override
  public Mono<Either<Failure, Option<Item>>> get(ItemKey key) {
    return Mono.defer(
        () -> {
          readCount++;
          if (readFaults.isEmpty()) {
            return delegate.table().get(key);
          }
          Fault<Option<Item>> fault = readFaults.head();
          readFaults = readFaults.tail();
          return fault.apply(() -> delegate.table().get(key));
        });
  }

  @Override
  public Mono<Either<Failure, Vector<Item>>> query(
      String partition, Option<String> after, int limit) {
    return delegate.table().query(partition, after, limit);
  }

  @Override
  public Mono<Either<Failure, Vector<ItemWrite>>> write(Vector<ItemWrite> writes) {
    return Mono.defer(
        () -> {
          if (writeFaults.isEmpty()) {
            return delegate.table().write(writes);
          }
          Fault<Vector<ItemWrite>> fault = writeFaults.head();
          writeFaults = writeFaults.tail();
          return fault.apply(() -> delegate.table().write(writes));
        });
  }
}
