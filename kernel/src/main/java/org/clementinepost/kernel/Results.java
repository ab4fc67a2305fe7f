package org.clementinepost.kernel;

import io.vavr.control.Either;
import java.util.function.Function;
import org.clementinepost.api.Failure;
import reactor.core.publisher.Mono;

/** Chains asynchronous operations that result in a value or a failure. */
public final class Results {
  private Results() {}

  /** Runs the next operation with the value of the first, or returns the failure of the first. */
  public static <A, B> Mono<Either<Failure, B>> then(
      Mono<Either<Failure, A>> first, Function<A, Mono<Either<Failure, B>>> next) {
    return first.flatMap(result -> result.fold(failure -> Mono.just(Either.left(failure)), next));
  }
}
